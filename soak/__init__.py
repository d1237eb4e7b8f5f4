"""Fault soak: nodes under a seeded schedule of faults, judged by what callers and targets saw."""
