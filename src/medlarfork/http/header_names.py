"""Names of the HTTP headers that callers, entry hosts and upstreams exchange.

Names are as they are sent; the header names of a received message are in lower case.
"""

from __future__ import annotations

LABELS = "Medlar-Labels"
"""Labels that the caller attaches to its request."""

KEY = "Idempotency-Key"
"""Key that ensures that a non-repeatable request runs at most once."""

REQUEST_ID = "Medlar-Request-Id"
"""Request id assigned by the entry host, the same for all attempts."""

ATTEMPT_ID = "Medlar-Attempt-Id"
"""Id of one attempt of a request."""

PRIORITY = "Medlar-Priority"
"""The request's tier; a lower number has higher priority."""

RESUME_OFFSET = "Medlar-Resume-Offset"
"""Offset from which an engine is asked to continue a response; its reply confirms the offset."""

OUTCOME = "Medlar-Outcome"
"""Outcome of the request: a value of ``request.Outcome``."""

REPLAYED = "Medlar-Replayed"
"""Marks a stored response, replayed from the first execution of the request."""

ENTRIES = "Medlar-Entries"
"""Comma-separated list of other entry hosts that the caller can use instead."""

RETRY_AFTER = "Retry-After"
"""Time after which the caller may retry, in whole seconds."""

RETRY_AFTER_MS = "Retry-After-Ms"
"""Time after which the caller may retry, in milliseconds."""
