"""Periodic announcements of an upstream to entry hosts, and of its leave."""

from __future__ import annotations

import dataclasses
import itertools
import time
from collections.abc import Callable, Iterable

import curio
import msgspec

from medlarfork import errors, upstream
from medlarfork.http import http_client

_TARGET_COUNT = 2
"""Number of entry hosts that get each announcement: a pool's owner and its standby."""

_POST_TIMEOUT_S = 1.0
"""Timeout of an announcement, in seconds."""

_LIMITS = http_client.ClientLimits(body_bytes=64 * 1024)
"""Limits of announcements; a reply has a few addresses."""

_INITIAL_PERIOD_S = 0.5
"""Announcement period until a reply sets another one, in seconds."""

_MIN_PERIOD_S = 0.02
"""Minimum and maximum of the period that a reply may set, in seconds."""

_MAX_PERIOD_S = 30.0
_LEAVE_ATTEMPTS = 5
"""Maximum number of attempts to announce the leave."""

_LEAVE_RETRY_S = 0.2
"""Delay between these attempts, in seconds."""

_MAX_ADDRESSES = 64
"""Maximum number of addresses that are used from one reply."""


class Announcer:
    """Sends announcements to the entry hosts listed in the last reply.

    Attributes:
        failures: Announcements without a valid reply, counted per entry host.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        key: str,
        describe: Callable[[], upstream.Announcement],
    ) -> None:
        """Create the announcer; ``start`` sends the first announcement.

        Args:
            seeds: Base addresses of any entry hosts, used when the listed ones fail.
            key: Key that entry hosts require for announcements.
            describe: Returns the current announcement; its incarnation, sequence and state are
                set by the announcer.
        """
        self.failures = 0
        self._seeds = tuple(dict.fromkeys(seeds))
        self._key = key
        self._describe = describe
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._targets: tuple[str, ...] = ()
        self._period_s = _INITIAL_PERIOD_S
        self._client = http_client.HttpClient(limits=_LIMITS)
        self._task: curio.Task | None = None

    @property
    def incarnation(self) -> int:
        """Return the incarnation, which grows with each start of the upstream."""
        return self._incarnation

    async def start(self) -> None:
        """Start to announce periodically."""
        await self._client.start()
        if self._seeds:
            self._task = await curio.spawn(self._repeat, daemon=True)

    async def close(self) -> None:
        """Stop announcing, without announcing a leave."""
        await self._stop()
        await self._client.close()

    async def leave(self) -> bool:
        """Announce to every known entry host that the upstream leaves.

        Returns:
            Whether at least one of them accepted it, or none is known.
        """
        await self._stop()
        addresses = tuple(dict.fromkeys((*self._targets, *self._seeds)))
        for _ in range(_LEAVE_ATTEMPTS if addresses else 0):
            if await self._post_all(addresses, upstream.UpstreamState.LEAVING):
                return True
            await curio.sleep(_LEAVE_RETRY_S)
        return not addresses

    async def announce(self) -> bool:
        """Announce once to the listed entry hosts, or else to the first seed that accepts it.

        Returns:
            Whether any entry host accepted it.
        """
        replies = await self._post_all(self._targets[:_TARGET_COUNT], upstream.UpstreamState.READY)
        if not replies:
            replies = await self._post_to_seeds()
        if not replies:
            self._targets = ()
            return False
        self._apply_reply(replies[0])
        return True

    async def _stop(self) -> None:
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _repeat(self) -> None:
        while True:
            await self.announce()
            await curio.sleep(self._period_s)

    async def _post_to_seeds(self) -> list[upstream.AnnouncementReply]:
        for seed in self._seeds:
            replies = await self._post_all((seed,), upstream.UpstreamState.READY)
            if replies:
                return replies
        return []

    async def _post_all(
        self, addresses: tuple[str, ...], state: upstream.UpstreamState
    ) -> list[upstream.AnnouncementReply]:
        """Post one announcement to several entry hosts concurrently; return the valid replies."""
        if not addresses:
            return []
        body = msgspec.json.encode(self._next_announcement(state))
        async with curio.TaskGroup() as group:
            for address in addresses:
                await group.spawn(self._post, address, body)
        return [reply for reply in group.results if reply is not None]

    def _next_announcement(self, state: upstream.UpstreamState) -> upstream.Announcement:
        return dataclasses.replace(
            self._describe(),
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            state=state,
        )

    async def _post(self, address: str, body: bytes) -> upstream.AnnouncementReply | None:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        try:
            response = await self._client.request(
                address,
                "POST",
                upstream.ANNOUNCEMENTS_PATH,
                headers,
                body,
                timeout_s=_POST_TIMEOUT_S,
            )
            answer = await response.read()
            if response.status == 200:
                return msgspec.json.decode(answer, type=upstream.AnnouncementReply)
        except (errors.UpstreamError, msgspec.MsgspecError):
            pass
        self.failures += 1
        return None

    def _apply_reply(self, reply: upstream.AnnouncementReply) -> None:
        self._targets = reply.announce_to[:_MAX_ADDRESSES]
        self._period_s = min(max(reply.period_s, _MIN_PERIOD_S), _MAX_PERIOD_S)
