"""Tests of roadpass."""
