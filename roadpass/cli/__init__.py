"""The `roadpass` command-line tool; the daemon never imports it."""
