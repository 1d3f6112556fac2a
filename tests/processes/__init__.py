"""Test the system with real processes that fail, while requests run."""
