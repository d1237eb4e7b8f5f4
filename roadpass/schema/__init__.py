"""JSON Schemas of settings, documents and messages."""
