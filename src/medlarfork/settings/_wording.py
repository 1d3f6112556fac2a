"""Join a problem and its remedy into one line for people to read."""

from __future__ import annotations


def join(problem: str, remedy: str) -> str:
    """Return ``problem; remedy``, where the remedy is a sentence that now follows on."""
    second = remedy[1:2]
    # Leave a word in capitals, such as HTTP, as it is.
    start = remedy[:1] if second.isupper() else remedy[:1].lower()
    return f"{problem}; {start}{remedy[1:]}"
