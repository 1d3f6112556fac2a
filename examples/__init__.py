"""Runnable examples: the demo, and each coordination part embedded alone."""
