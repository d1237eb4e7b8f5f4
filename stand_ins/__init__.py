"""Small stand-ins for the outside systems: the platform, the store, targets and callers."""
