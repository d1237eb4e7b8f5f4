"""Fault soak: runs nodes under a seeded fault schedule and checks what callers and targets saw."""
