"""Sample fleets and the demonstration."""
