"""Name a request by what its callers repeat, so that any entry host knows it again: pure.

A caller's next attempt has another id, comes to any host and may say another deadline, last event
or list of prompt parts, so none of these is part of the name. Its client account is, so that no
account can make another one's request look like its own.
"""

from __future__ import annotations

import hashlib

ACCOUNT_BYTES = 3
"""Part of the name that tells client accounts apart, in bytes: some hundreds of accounts."""

CONTENT_BYTES = 10
"""Part that tells an account's requests apart, in bytes: nobody finds two of one name by trying."""


def request_key(account: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the name of a request, in hexadecimal digits.

    Args:
        account: The client account; empty on public routes.
        method: HTTP method.
        host: Value of the Host header; its port does not count, as for routes.
        target: Path, with the query if any.
        body: The whole body.
    """
    content = hashlib.blake2b(body, digest_size=CONTENT_BYTES)
    head = "\0".join(("", account, method, host.partition(":")[0].lower(), target))
    content.update(head.encode("utf-8", "surrogateescape"))
    return account_prefix(account) + content.hexdigest()


def account_prefix(account: str) -> str:
    """Return the part of names that all requests of a client account share."""
    return hashlib.blake2b(account.encode(), digest_size=ACCOUNT_BYTES).hexdigest()
