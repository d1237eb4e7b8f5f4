"""Small stand-ins for what roadpass meets: the platform, targets and callers."""
