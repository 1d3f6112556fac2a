"""Derive the keys under which upstream crashes are counted. Pure: no I/O, no clock.

A subject is a request or a prompt part. A request stays the same across its caller's retries: a
retry has a new id, may arrive at another entry host, and may carry another deadline, last event id
or list of prompt parts, so none of these is part of its key. The client account is, so that no
account can imitate another account's requests. A prompt part is the same for every request of a
service that names it: of any account, route or entry host.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarfork.placement import placement_messages

PART_PREFIX = "part-"
"""Begins the keys of prompt parts; keys of requests consist of hexadecimal digits."""

ACCOUNT_BYTES = 3
"""Length of the key prefix that identifies the client account, in bytes: enough for some
hundreds of accounts."""

SERVICE_BYTES = 3
"""Length of the digest of the service in the key of a part, in bytes."""

CONTENT_BYTES = 10
"""Length of the digest that identifies a request within its account, or a part within its service,
in bytes: too long to find a collision by trial."""

MAX_PARTS = 64
"""Parts of one prompt for which crashes are counted, the first ones; prompts have a few."""

MAX_SHOWN_LENGTH = 32
"""Characters of the id of a part that are shown; its length is the caller's choice."""

CACHED_KEYS = 4096
"""Keys of parts that are cached, below 2 MB: most prompts share a few parts."""


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


def is_part(key: str) -> bool:
    """Return whether a key identifies a prompt part."""
    return key.startswith(PART_PREFIX)


@functools.lru_cache(maxsize=CACHED_KEYS)
def part_key(service: str, part_id: str) -> str:
    """Return the key of a prompt part; its id may be of any length."""
    owner = hashlib.blake2b(service.encode(), digest_size=SERVICE_BYTES).hexdigest()
    named = f"{service}\0{part_id}".encode("utf-8", "surrogateescape")
    return PART_PREFIX + owner + hashlib.blake2b(named, digest_size=CONTENT_BYTES).hexdigest()


def keys(
    own_key: str, service: str, segments: Sequence[placement_messages.PromptSegment]
) -> tuple[str, ...]:
    """Return the keys of a request and of the parts that other requests may share.

    Args:
        own_key: The request's own key (see ``request_key``).
        service: The service that runs it.
        segments: All segments of its prompt; the last one belongs to this request alone.
    """
    shared = segments[:-1][:MAX_PARTS]
    parts = (part_key(service, segment.part_id) for segment in shared)
    return tuple(dict.fromkeys((own_key, *parts)))


def describe(key: str, service: str, segments: Sequence[placement_messages.PromptSegment]) -> str:
    """Return what a request and others that are refused with it have in common, for messages."""
    for segment in segments:
        if key == part_key(service, segment.part_id):
            return f"requests with its prompt part {segment.part_id[:MAX_SHOWN_LENGTH]!r}"
    return "it"


def of_placement(request: placement_messages.PlaceRequest) -> tuple[str, ...]:
    """Return the keys of a request that needs a trial, as its placement request states them."""
    found = keys(request.retry_key, request.service, request.parts)
    named = (key for key in found if key)
    return tuple(dict.fromkeys((request.trial_key, *named)))
