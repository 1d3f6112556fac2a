"""Stand-in for a plain service, which echoes calls and counts their executions."""

from __future__ import annotations

import collections
import dataclasses
import functools

import curio

from medlarfork import upstream
from medlarfork.http import header_names, http_server
from medlarfork.settings import program_exit, settings
from medlarfork.standin import _standin_faults, _standin_flags, _standin_host, _standin_slots

PROGRAM = "medlar-standin-service"
"""Name of the program."""

_MAX_COUNTED = 100_000
"""Maximum number of keys, and of request ids, whose executions are counted."""

_CALL_PRIORITY = 0
"""Priority of every call: slots go to calls in order of arrival."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a stand-in service.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 lets the system choose.
        name: Stable identity of the service's process.
        entries: Base addresses of entry hosts to announce to first.
        announce_key: Key that entry hosts require for announcements.
        labels: Labels to announce.
        data_centre: Data centre to announce.
        slots: Maximum number of running calls.
        delay_s: Time that a call takes, in seconds.
        drain_s: Timeout of a graceful stop, in seconds.
    """

    host: str = "127.0.0.1"
    port: int = settings.bounded(0, minimum=0, maximum=65535)
    name: str = "service"
    entries: tuple[str, ...] = ()
    announce_key: str = ""
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    data_centre: str = ""
    slots: int = settings.bounded(8, minimum=1, maximum=10_000)
    delay_s: float = settings.bounded(0.0, minimum=0.0, maximum=3600.0)
    drain_s: float = settings.bounded(600.0, minimum=0.0, maximum=86400.0)


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """Echo of a call.

    Attributes:
        path: Path of the call.
        method: HTTP method of the call.
        count: Number of executions here, by key or else by request id; 1 without both.
        key: Idempotency key of the call; empty if it has none.
    """

    path: str
    method: str
    count: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Executions:
    """Counts of executed calls.

    Attributes:
        total: Executions since the start.
        by_key: Executions by idempotency key.
        by_request_id: Executions by the router's request id.
    """

    total: int
    by_key: dict[str, int]
    by_request_id: dict[str, int]


class StandinService:
    """Stand-in for a plain service; it accepts every path as a call."""

    def __init__(
        self,
        options: ServiceSettings,
        *,
        switches: _standin_faults.FaultSwitches | None = None,
    ) -> None:
        """Create the service; ``switches`` injects its faults."""
        self._options = options
        self._switches = switches or _standin_faults.FaultSwitches()
        self._slots = _standin_slots.Slots(options.slots)
        self._total = 0
        self._count_by_key: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._count_by_request_id: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.host = _standin_host.StandinHost(
            self._answer, host=options.host, port=options.port, drain_s=options.drain_s
        )

    async def start(self) -> None:
        """Listen and announce."""
        await self.host.start(
            entries=self._options.entries, key=self._options.announce_key, describe=self.describe
        )

    async def stop(self) -> None:
        """Announce the leave, finish calls in progress, and close."""
        await self.host.stop()

    async def close(self) -> None:
        """Close immediately."""
        await self.host.close()

    @property
    def executions(self) -> Executions:
        """Return the counts of executed calls."""
        return Executions(self._total, dict(self._count_by_key), dict(self._count_by_request_id))

    def describe(self) -> upstream.Announcement:
        """Return the current announcement."""
        return upstream.Announcement(
            upstream_id=self._options.name,
            incarnation=0,
            sequence=0,
            state=upstream.UpstreamState.READY,
            address=self.host.address,
            labels=self._options.labels,
            data_centre=self._options.data_centre,
            slots=self._options.slots,
            load=upstream.Load(self._slots.running, self._slots.waiting),
        )

    async def _answer(self, exchange: http_server.Exchange) -> None:
        body = await exchange.read_body()
        match exchange.head.method, exchange.head.path:
            case "GET", "/_executions":
                await _standin_host.respond(exchange, self.executions)
            case "POST", "/_faults" | "/v1/faults":
                await _standin_host.respond_faults(exchange, self._switches, body)
            case _ if self.host.stopping or self._switches.faults.refuse:
                await _standin_host.refuse(exchange)
            case _:
                with self.host.working():
                    call = functools.partial(self._call, exchange)
                    await _standin_host.run_until_disconnect(exchange, call)

    async def _call(self, exchange: http_server.Exchange) -> None:
        head = exchange.head
        key = head.headers.get(header_names.KEY.lower(), "")
        async with self._slots.hold(_CALL_PRIORITY):
            # Counted before the work, because an aborted call may have taken effect.
            count = self._execute(key, head.headers.get(header_names.REQUEST_ID.lower(), ""))
            await self._switches.work(self._options.delay_s)
        if self._switches.faults.cut_before_reply:
            await exchange.abort()
            return
        await _standin_host.respond(exchange, CallReply(head.path, head.method, count, key))

    def _execute(self, key: str, request_id: str) -> int:
        self._total += 1
        by_request_id = _count(self._count_by_request_id, request_id)
        by_key = _count(self._count_by_key, key)
        self._switches.count_call()
        return by_key or by_request_id or 1


def _count(counts: collections.OrderedDict[str, int], name: str) -> int:
    if not name:
        return 0
    counts[name] = counts.get(name, 0) + 1
    if len(counts) > _MAX_COUNTED:
        counts.popitem(last=False)
    return counts.get(name, 0)


def run() -> None:
    """Run the program."""
    with program_exit.exit_on_error():
        arguments = _standin_flags.main_arguments(ServiceSettings, PROGRAM)
        options = _standin_flags.parse(ServiceSettings, arguments)
        service = StandinService(options)
        curio.run(_standin_host.serve_until_signal, service.start, service.host, options.name)
