"""JSON Schemas of settings, documents, manifests and messages."""
