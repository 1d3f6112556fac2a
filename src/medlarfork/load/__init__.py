"""Load generator ``medlar-load``."""
