"""Sample fleets and the demonstration of `make demo`."""
