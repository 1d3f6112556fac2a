"""The replicated log, usable as a standalone component, and its journal on disk."""
