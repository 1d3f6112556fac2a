"""Ask which entry hosts to use, and keep the answer for its lifetime, as callers do."""

from __future__ import annotations

import time
import urllib.parse

import curio
import msgspec

from medlarfork import errors
from medlarfork.entry import entries_answer
from medlarfork.http import http_client

_ASK_TIMEOUT_S = 2.0
"""How long one entry host may take to answer, in seconds."""

_SHORTEST_LIFETIME_S = 0.1
"""Least time that an answer is kept, whatever it says, in seconds."""

_RETRY_S = 0.5
"""How long to use what is known after nobody has answered, in seconds."""


class LoadDirectory:
    """Name an entry host for each request, spread over those that were named to us.

    Attributes:
        failures: Questions that nobody answered.
    """

    def __init__(
        self, client: http_client.HttpClient, seeds: tuple[str, ...], *, data_centre: str
    ) -> None:
        """Start with addresses that may be asked."""
        self.failures = 0
        self._client = client
        self._seeds = seeds
        self._data_centre = data_centre
        self._addresses: tuple[str, ...] = ()
        self._valid_until = 0.0
        self._turn = 0
        self._asking = curio.Lock()

    async def pick(self, *, but: frozenset[str] = frozenset()) -> str:
        """Return the address to use for one request, if possible none of ``but``."""
        if time.monotonic() >= self._valid_until:
            await self._renew()
        addresses = self._addresses or self._seeds
        usable = [address for address in addresses if address not in but] or list(addresses)
        self._turn += 1
        return usable[self._turn % len(usable)]

    async def _renew(self) -> None:
        async with self._asking:
            if time.monotonic() < self._valid_until:
                return
            for address in dict.fromkeys((*self._addresses, *self._seeds)):
                answer = await self._ask(address)
                if answer is not None and answer.entries:
                    self._use(answer)
                    return
            self.failures += 1
            self._valid_until = time.monotonic() + _RETRY_S

    async def _ask(self, address: str) -> entries_answer.EntriesAnswer | None:
        path = entries_answer.ENTRIES_PATH
        query = urllib.parse.urlencode({"dc": self._data_centre}) if self._data_centre else ""
        target = f"{path}?{query}" if query else path
        try:
            response = await self._client.request(
                address, "GET", target, {}, b"", timeout_s=_ASK_TIMEOUT_S
            )
            body = await response.read()
            if response.status == 200:
                return msgspec.json.decode(body, type=entries_answer.EntriesAnswer)
        except (errors.UpstreamError, msgspec.MsgspecError):
            pass
        return None

    def _use(self, answer: entries_answer.EntriesAnswer) -> None:
        near = [item.address for item in answer.entries if item.data_centre == self._data_centre]
        self._addresses = tuple(near or [item.address for item in answer.entries])
        lifetime_s = max(answer.lifetime_s, _SHORTEST_LIFETIME_S)
        self._valid_until = time.monotonic() + lifetime_s
