"""Format a problem and its remedy as one line of text."""

from __future__ import annotations


def join(problem: str, remedy: str) -> str:
    """Return ``problem; remedy``, with the remedy's first letter in lower case."""
    second = remedy[1:2]
    # Keep acronyms such as HTTP in upper case.
    start = remedy[:1] if second.isupper() else remedy[:1].lower()
    return f"{problem}; {start}{remedy[1:]}"
