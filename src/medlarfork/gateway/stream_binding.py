"""Binds a request to the service and the version that began its stream.

What two versions write does not fit together, so a stream goes on only where it began. A request
whose stream can't be bound is refused.
"""

from __future__ import annotations

import logging

from medlarfork import errors, logs
from medlarfork.coordination import upstream_types
from medlarfork.gateway import origin_tracker, request_types
from medlarfork.resumption import stream_origin

_log = logging.getLogger(__name__)

UNKNOWN_ORIGIN = "the version that began the stream is not known"
"""Reason of refusals that may change once replicas can be reached again."""

MOVED = "the route no longer names the service that began the stream"
"""Reason of refusals after a change of the routing."""


class StreamBinding:
    """The origin of one request's stream.

    Attributes:
        origin: Its origin; None if no stream has begun, or if the version is not known.
    """

    def __init__(
        self, admitted: request_types.AdmittedRequest, shared: request_types.SharedContext
    ) -> None:
        """Create the binding of a request that has not begun a stream."""
        self._admitted = admitted
        self._shared = shared
        self._has_begun = False
        self.origin: stream_origin.StreamOrigin | None = None

    @property
    def version(self) -> str | None:
        """Return the only version that may run the request; None if any may."""
        return None if self.origin is None else self.origin.version

    @property
    def may_go_on(self) -> bool:
        """Return whether another attempt may go on with the stream, if it has begun."""
        return self.origin is not None or not self._has_begun

    async def bind(self) -> str:
        """Bind a request that goes on with a stream; return why it is refused, or nothing."""
        metadata = self._admitted.metadata
        if not metadata.last_event_id:
            return ""
        self._has_begun = True
        found = await self._find()
        why = self._refusal(found)
        if not why:
            self.origin = found.origin
        logs.event(
            _log,
            "stream_resumed",
            request=metadata.attempt_id or None,
            resumes=metadata.resumes or None,
            after_event=metadata.last_event_id,
            service=None if found.origin is None else found.origin.service,
            version=None if found.origin is None else found.origin.version,
            source=found.source or None,
            left_s=round(found.left_s, 1) or None,
            replies=found.replies or None,
            refused=why or None,
        )
        return why

    def begin(self, upstream: upstream_types.Announcement | None) -> None:
        """Bind a request whose first event has arrived, and let other hosts know.

        Args:
            upstream: The incarnation that sent it; None if it is not known any more.
        """
        if self._has_begun:
            return
        self._has_begun = True
        if upstream is None or upstream.version is None:
            return
        if self._shared.session.is_replaced(upstream):
            # The later incarnation may have sent it.
            return
        admitted = self._admitted
        self.origin = stream_origin.StreamOrigin(upstream.service, upstream.version)
        if admitted.route.may_repeat and admitted.metadata.attempt_id:
            deadline_ms = admitted.metadata.deadline_ms
            self._shared.origins.record(
                stream_origin.stream_key(admitted.account, admitted.metadata.attempt_id),
                self.origin,
                None if deadline_ms is None else deadline_ms / 1000.0,
            )

    def begin_forwarded(self, origin: stream_origin.StreamOrigin | None) -> None:
        """Bind a request whose stream a relay host has begun."""
        if not self._has_begun:
            self._has_begun = True
            self.origin = origin

    def check_incarnation(self, upstream: upstream_types.Announcement) -> None:
        """Check that a response to a bound request came from the incarnation that was placed.

        Raises:
            errors.UpstreamError: Another incarnation, perhaps of another version, may have sent it.
        """
        if self.origin is not None and self._shared.session.is_replaced(upstream):
            raise errors.UpstreamError(
                "Another incarnation has taken the place of the upstream.",
                remedy="The stream goes on at another upstream of its version.",
            )

    def relay_headers(self) -> dict[str, str]:
        """Return the headers of a response that tell a forwarding host about the stream."""
        if not self._admitted.is_relayed or self.origin is None:
            return {}
        return {self._shared.names.origin: self.origin.to_header()}

    async def _find(self) -> origin_tracker.Found:
        admitted = self._admitted
        if admitted.origin is not None:
            return origin_tracker.Found(admitted.origin, "relay")
        origins, resumes = self._shared.origins, admitted.metadata.resumes
        if not resumes:
            return await origins.find_only_version(admitted.service)
        key = stream_origin.stream_key(admitted.account, resumes)
        return await origins.find(key, admitted.service)

    def _refusal(self, found: origin_tracker.Found) -> str:
        if found.origin is None:
            return UNKNOWN_ORIGIN
        targets = self._admitted.route.targets
        is_named = any(
            target.service == found.origin.service and target.weight > 0 for target in targets
        )
        return "" if is_named else MOVED
