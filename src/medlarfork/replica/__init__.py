"""The replicated log, which can be embedded alone, and its journal on disk."""
