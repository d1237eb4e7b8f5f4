"""The `roadpass` tool; the daemon never imports it."""
