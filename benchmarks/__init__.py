"""Benchmarks. Each prints a table and, as its last line, one JSON object."""
