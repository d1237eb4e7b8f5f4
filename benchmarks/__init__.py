"""Benchmarks; each prints a table to read and, as last line, one JSON object."""
