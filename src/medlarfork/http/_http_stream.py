"""Read and write a TCP socket under curio, with deadlines kept by one sweeping task."""

from __future__ import annotations

import contextlib
import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import curio
from curio import traps

READ_SIZE = 64 * 1024
"""Most bytes taken from a socket at once."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes ``close`` send a reset."""

_CLOSED_BY_PEER_STATES = frozenset({7, 8, 9, 10, 11})
"""TCP states (Linux ``TCP_CLOSE`` to ``TCP_CLOSING``) in which the peer has sent its end."""


class _Descriptor:
    """Stand for a socket in curio's selector.

    The selector formats its file object whenever it is not registered, which is the case before
    each wait; that of a socket asks the system for both addresses.
    """

    __slots__ = ("_number",)

    def __init__(self, number: int) -> None:
        self._number = number

    def __repr__(self) -> str:
        return "descriptor"

    def fileno(self) -> int:
        """Return the number that the system knows the socket by."""
        return self._number


class Stream:
    """Wrap one connected socket; the task that uses it closes it.

    Other tasks may only ``expire`` or ``interrupt_reading``: closing a descriptor on which a task
    waits would leave that task asleep.

    Attributes:
        expired: Whether a deadline has passed; reads then end and writes fail.
        deadline_at: Monotonic time at which the sweeper expires the stream, in seconds.
    """

    __slots__ = (
        "_descriptor",
        "_drained",
        "_socket",
        "_stall_s",
        "_unsent",
        "_writing",
        "deadline_at",
        "expired",
    )

    def __init__(
        self,
        connected: socket.socket,
        *,
        stall_s: float = math.inf,
        unacknowledged_s: float = 0.0,
    ) -> None:
        """Take over a connected socket.

        Args:
            connected: The socket; it is made non-blocking.
            stall_s: How long a write may make no progress, in seconds.
            unacknowledged_s: How long the peer may acknowledge nothing before the system gives
                the connection up, in seconds; 0 for the system's own time.
        """
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if unacknowledged_s:
            unacknowledged_ms = round(unacknowledged_s * 1000)
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        self._socket = connected
        self._descriptor = _Descriptor(connected.fileno())
        self._stall_s = stall_s
        self._drained = False
        self._unsent = b""
        self._writing = False
        self.expired = False
        self.deadline_at = math.inf

    def arm(self, seconds: float) -> None:
        """Let the stream expire after ``seconds``, unless armed again or disarmed."""
        self.deadline_at = time.monotonic() + seconds

    def disarm(self) -> None:
        """Take the deadline back."""
        self.deadline_at = math.inf

    def expire(self) -> None:
        """End reading at once, and writing if it is stalled; wake up the tasks that wait."""
        self.expired = True
        self.deadline_at = math.inf
        self._shutdown(socket.SHUT_RDWR if self._writing else socket.SHUT_RD)

    def interrupt_reading(self) -> None:
        """Let reads end once the bytes already received are taken; writing goes on."""
        self._shutdown(socket.SHUT_RD)

    def end_writing(self) -> None:
        """Tell the peer that nothing more comes."""
        self._shutdown(socket.SHUT_WR)

    async def receive(self) -> bytes:
        """Return the bytes that came, at least one; none at all at the end.

        Raises:
            OSError: If the connection was reset.
        """
        # After a read that got less than it asked for, another one at once would find nothing.
        if self._drained:
            await traps._read_wait(self._descriptor)
        while True:
            try:
                data = self._socket.recv(READ_SIZE)
            except (BlockingIOError, InterruptedError):
                await traps._read_wait(self._descriptor)
                continue
            self._drained = 0 < len(data) < READ_SIZE
            return data

    def send_now(self, data: bytes | memoryview) -> int:
        """Write what the socket takes without waiting, and return how many bytes that was.

        Raises:
            OSError: If the connection can't be written to any more.
        """
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send(self, data: bytes) -> None:
        """Write all bytes, waiting for the peer where it reads slowly.

        What a cancelled call has not written goes out first with the next one, so that a message
        is never continued in the middle of an unfinished part.

        Raises:
            OSError: If the connection can't be written to, or made no progress for too long.
        """
        if self._unsent:
            data, self._unsent = self._unsent + data, b""
        if not data:
            return
        sent = self.send_now(data)
        if sent < len(data):
            await self.send_rest(memoryview(data)[sent:])

    async def send_rest(self, rest: memoryview) -> None:
        """Write what ``send_now`` left over; each progress renews the time allowed.

        Raises:
            OSError: As for ``send``.
        """
        previous_deadline = self.deadline_at
        self._writing = True
        try:
            while rest:
                self.deadline_at = min(previous_deadline, time.monotonic() + self._stall_s)
                await traps._write_wait(self._descriptor)
                if self.expired:
                    raise TimeoutError("the peer does not read")
                sent = self.send_now(rest)
                rest = rest[sent:]
            self.deadline_at = previous_deadline
        except curio.CancelledError:
            self._unsent = bytes(rest)
            self.deadline_at = previous_deadline
            raise
        finally:
            self._writing = False

    def is_dead(self) -> bool:
        """Return whether an idle connection has ended or holds bytes nobody asked for."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed, even if unread bytes come before its end."""
        try:
            state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return True
        return state in _CLOSED_BY_PEER_STATES

    async def close(self) -> None:
        """Close the socket; bytes already written still reach the peer."""
        await traps._io_release(self._descriptor)
        self._socket.close()

    async def reset(self) -> None:
        """Reset the connection, so that the peer sees a failure and not an end."""
        # The option fails where the peer has already reset the connection.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await self.close()

    def _shutdown(self, how: int) -> None:
        # It fails on a disconnected socket, whose waiting tasks have been woken up by that.
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)


class Sweeper:
    """Expire streams whose deadline has passed, with one task for all of them.

    A timeout costs its user one attribute write; the price is that it fires up to one period
    late.
    """

    def __init__(
        self, period_s: float, on_sweep: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Sweep every ``period_s`` seconds and call ``on_sweep`` each time."""
        self._period_s = period_s
        self._on_sweep = on_sweep
        self._streams: set[Stream] = set()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start sweeping."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop sweeping; deadlines pass unnoticed from now on."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    def add(self, stream: Stream) -> None:
        """Watch a stream."""
        self._streams.add(stream)

    def discard(self, stream: Stream) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)

    async def _run(self) -> None:
        while True:
            await curio.sleep(self._period_s)
            self._expire_due(time.monotonic())
            if self._on_sweep is not None:
                await self._on_sweep()

    def _expire_due(self, now: float) -> None:
        for stream in self._streams:
            if stream.deadline_at <= now:
                stream.expire()
