"""Route language-model traffic with service levels and priorities across many hosts."""

__version__ = "0.1.0"
