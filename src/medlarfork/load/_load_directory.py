"""Cached directory of entry hosts, as callers use it."""

from __future__ import annotations

import time
import urllib.parse

import curio
import msgspec

from medlarfork import errors
from medlarfork.entry import entries_answer
from medlarfork.http import http_client

_REQUEST_TIMEOUT_S = 2.0
"""Timeout of a request to one entry host, in seconds."""

_MIN_LIFETIME_S = 0.1
"""Minimum time that a reply is cached, in seconds."""

_RETRY_S = 0.5
"""Delay before the next refresh after no entry host replied, in seconds."""


class LoadDirectory:
    """Directory that selects an entry host for each request, round robin.

    Attributes:
        failures: Refreshes that no entry host replied to.
    """

    def __init__(
        self, client: http_client.HttpClient, seeds: tuple[str, ...], *, data_centre: str
    ) -> None:
        """Start with an empty cache and the addresses of some entry hosts."""
        self.failures = 0
        self._client = client
        self._seeds = seeds
        self._data_centre = data_centre
        self._addresses: tuple[str, ...] = ()
        self._valid_until = 0.0
        self._next_index = 0
        self._refresh_lock = curio.Lock()

    async def pick(self, *, exclude: frozenset[str] = frozenset()) -> str:
        """Return the address to use for one request, outside ``exclude`` if possible."""
        if time.monotonic() >= self._valid_until:
            await self._refresh()
        addresses = self._addresses or self._seeds
        usable = [address for address in addresses if address not in exclude] or list(addresses)
        self._next_index += 1
        return usable[self._next_index % len(usable)]

    async def _refresh(self) -> None:
        async with self._refresh_lock:
            if time.monotonic() < self._valid_until:
                return
            for address in dict.fromkeys((*self._addresses, *self._seeds)):
                reply = await self._fetch(address)
                if reply is not None and reply.entries:
                    self._apply(reply)
                    return
            self.failures += 1
            self._valid_until = time.monotonic() + _RETRY_S

    async def _fetch(self, address: str) -> entries_answer.EntriesAnswer | None:
        path = entries_answer.ENTRIES_PATH
        query = urllib.parse.urlencode({"dc": self._data_centre}) if self._data_centre else ""
        target = f"{path}?{query}" if query else path
        try:
            response = await self._client.request(
                address, "GET", target, {}, b"", timeout_s=_REQUEST_TIMEOUT_S
            )
            body = await response.read()
            if response.status == 200:
                return msgspec.json.decode(body, type=entries_answer.EntriesAnswer)
        except (errors.UpstreamError, msgspec.MsgspecError):
            pass
        return None

    def _apply(self, reply: entries_answer.EntriesAnswer) -> None:
        local = [item.address for item in reply.entries if item.data_centre == self._data_centre]
        self._addresses = tuple(local or [item.address for item in reply.entries])
        lifetime_s = max(reply.lifetime_s, _MIN_LIFETIME_S)
        self._valid_until = time.monotonic() + lifetime_s
