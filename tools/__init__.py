"""Development tools; not part of the product."""
