"""Derive a key that identifies a request across its caller's retries. Pure: no I/O, no clock.

A retry has a new id, may arrive at another entry host, and may carry another deadline, last event
id or list of prompt parts, so none of these is part of the key. The client account is, so that no
account can imitate another account's requests.
"""

from __future__ import annotations

import hashlib

ACCOUNT_BYTES = 3
"""Length of the key prefix that identifies the client account, in bytes: enough for some
hundreds of accounts."""

CONTENT_BYTES = 10
"""Length of the part that identifies a request within its account, in bytes: too long to find a
collision by trial."""


def request_key(account: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the key of a request, in hexadecimal digits.

    Args:
        account: The client account; empty on public routes.
        method: HTTP method.
        host: Value of the Host header; its port is ignored, as in routes.
        target: Path, with the query if any.
        body: The complete body.
    """
    content = hashlib.blake2b(body, digest_size=CONTENT_BYTES)
    head = "\0".join(("", account, method, host.partition(":")[0].lower(), target))
    content.update(head.encode("utf-8", "surrogateescape"))
    return account_prefix(account) + content.hexdigest()


def account_prefix(account: str) -> str:
    """Return the key prefix that all requests of a client account share."""
    return hashlib.blake2b(account.encode(), digest_size=ACCOUNT_BYTES).hexdigest()
