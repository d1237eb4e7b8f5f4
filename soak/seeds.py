"""Runs that once broke a promise by a real fault, with its cause; each stays as a case."""

REGRESSIONS: dict[tuple[int, float, int], str] = {}
"""Cause by seed, seconds and processes."""
