"""Messages in which entry hosts and replicas exchange the origins of streams.

Messages may be lost, delayed or repeated. Applying them is commutative and idempotent.
"""

from __future__ import annotations

import dataclasses

from medlarfork.resumption import stream_origin


@dataclasses.dataclass(frozen=True, slots=True)
class OriginGroup:
    """Streams of one origin.

    Attributes:
        origin: Their origin.
        keep_s: How long their callers may come back, in seconds.
        keys: Their keys, one after the other (see ``stream_origin.stream_key``). Empty for a
            version that runs, and may have begun streams that are not listed.
    """

    origin: stream_origin.StreamOrigin
    keep_s: int
    keys: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams that the sender began, or all of them that are still of use."""

    groups: tuple[OriginGroup, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """Ask a replica for the origin of a stream, and for the versions of its service.

    Attributes:
        query_id: Identifies the query at its sender.
        key: The stream's key; empty to ask for the versions only.
        service: The service that the caller's route names now.
    """

    query_id: int
    key: bytes
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginReply:
    """What a replica knows.

    Attributes:
        query_id: The query.
        origin: The stream's origin; None if the replica does not know it.
        left_s: How long the replica keeps it, in seconds.
        versions: The versions of the service that ran lately or began a known stream.
        is_complete: Whether the replica knows all versions that ran lately, and each by name.
    """

    query_id: int
    origin: stream_origin.StreamOrigin | None = None
    left_s: float = 0.0
    versions: tuple[str, ...] = ()
    is_complete: bool = False


ORIGIN_MESSAGES: tuple[type, ...] = (OriginReport, OriginQuery, OriginReply)
"""The message classes of this module, to be registered with the codec of the links."""
