"""Origin of a stream: the service and the version that brought its first event. Pure."""

from __future__ import annotations

import dataclasses
import hashlib
import urllib.parse

KEY_BYTES = 8
"""Length of a stream's key, in bytes: half a million keys collide once in 10^8 restarts."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What a stream has to keep to for its whole length.

    Attributes:
        service: The service that began it.
        version: The software version that began it; empty if the upstream names none.
    """

    service: str
    version: str

    def to_header(self) -> str:
        """Return the header value that entry hosts exchange about a forwarded stream."""
        return f"{urllib.parse.quote(self.service, '')}/{urllib.parse.quote(self.version, '')}"


def from_header(value: str) -> StreamOrigin | None:
    """Return the origin in a header value; None if it is malformed."""
    service, separator, version = value.partition("/")
    if not service or not separator:
        return None
    return StreamOrigin(urllib.parse.unquote(service), urllib.parse.unquote(version))


def stream_key(account: str, attempt_id: str) -> bytes:
    """Return the key of the stream that an attempt began; it differs between accounts.

    Args:
        account: The client account; empty on public routes.
        attempt_id: The caller's id of the attempt that brought the first event.
    """
    named = f"{len(account)}\0{account}\0{attempt_id}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(named, digest_size=KEY_BYTES).digest()
