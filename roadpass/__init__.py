"""roadpass: a proxy fleet for targets that fail gray."""

__version__ = "0.1.0"
