"""Name the HTTP headers that callers, entry hosts and upstreams exchange.

Names are as they are sent; a message that was read has its header names in lower case.
"""

from __future__ import annotations

LABELS = "Medlar-Labels"
"""Labels that the caller gives its request."""

KEY = "Idempotency-Key"
"""Key under which a not-repeatable request runs at most once."""

REQUEST_ID = "Medlar-Request-Id"
"""The entry host's id of a request, the same in all its attempts."""

ATTEMPT_ID = "Medlar-Attempt-Id"
"""Id of one attempt of a request."""

PRIORITY = "Medlar-Priority"
"""The request's tier; a lower number goes first."""

RESUME_OFFSET = "Medlar-Resume-Offset"
"""Asks an engine for the rest of an answer and, in its reply, proves where it goes on."""

OUTCOME = "Medlar-Outcome"
"""What became of the request: one of ``request.Outcome``."""

REPLAYED = "Medlar-Replayed"
"""Marks an answer that was stored when the request ran the first time."""

ENTRIES = "Medlar-Entries"
"""Names other entry hosts that the caller can use instead, separated by commas."""

RETRY_AFTER = "Retry-After"
"""Whole seconds after which the caller may try again."""

RETRY_AFTER_MS = "Retry-After-Ms"
"""The same in milliseconds."""
