"""TCP streams under curio, whose deadlines are enforced by one shared task."""

from __future__ import annotations

import contextlib
import math
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio
from curio import traps

from medlarfork import vital_tasks

READ_SIZE = 64 * 1024
"""Maximum bytes per read from a socket."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes ``close`` send a reset."""

_ACKNOWLEDGEMENT_POLL_S = 0.05
"""Interval at which the system's send buffer is checked, in seconds: it has no event for empty."""

_CLOSED_BY_PEER_STATES = frozenset({7, 8, 9, 10, 11})
"""TCP states (Linux ``TCP_CLOSE`` to ``TCP_CLOSING``) in which the peer has sent a FIN or RST."""


class _Descriptor:
    """File object that represents a socket in curio's selector.

    The selector calls ``repr`` on a file object that is not registered, which is the case before
    each wait. The ``repr`` of a socket costs two system calls, for both addresses.
    """

    __slots__ = ("_number",)

    def __init__(self, number: int) -> None:
        self._number = number

    def __repr__(self) -> str:
        return "descriptor"

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._number


class Room(Protocol):
    """Room for the bytes that a stream reads."""

    @property
    def is_free(self) -> bool:
        """Return whether there is room for a read."""

    async def make(self) -> None:
        """Wait until there is room for a read, or the stream is to end."""


class Stream:
    """Connected socket that one task reads, one task writes, and any task may close.

    Closing wakes up the waiting tasks, whose calls then fail; the last of them closes the
    descriptor. Until a waiting task has run again, curio keeps its registration: if the descriptor
    were closed before, the next socket with the same number would be confused with it.

    Attributes:
        closed: Whether the stream has been closed; its descriptor may still be open.
        expired: Whether the deadline has passed; reads then return end of stream and stalled
            writes fail.
        interrupted: Whether ``interrupt_reading`` ended the reading.
        deadline_at: Monotonic time at which the sweeper expires the stream, in seconds.
        room: Room for the bytes that are read; None if it isn't limited.
    """

    __slots__ = (
        "_descriptor",
        "_drained",
        "_is_flooded",
        "_socket",
        "_stall_s",
        "_unacknowledged_s",
        "_unsent",
        "_waiting",
        "_writing",
        "closed",
        "deadline_at",
        "expired",
        "interrupted",
        "room",
    )

    def __init__(
        self,
        connected: socket.socket,
        *,
        stall_s: float = math.inf,
        unacknowledged_s: float = 0.0,
    ) -> None:
        """Take ownership of a connected socket.

        Args:
            connected: The socket; it is made non-blocking.
            stall_s: Timeout of a write that makes no progress, in seconds.
            unacknowledged_s: Timeout for unacknowledged data (TCP_USER_TIMEOUT), in seconds; 0
                for the system's default.
        """
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected
        self._unacknowledged_s = 0.0
        self.limit_unacknowledged(unacknowledged_s)
        self._descriptor = _Descriptor(connected.fileno())
        self._stall_s = stall_s
        self._drained = False
        self._is_flooded = False
        self._unsent: list[memoryview] = []
        self._waiting = 0
        self._writing = False
        self.closed = False
        self.expired = False
        self.interrupted = False
        self.deadline_at = math.inf
        self.room: Room | None = None

    def limit_unacknowledged(self, seconds: float) -> None:
        """Set the timeout for unacknowledged data (TCP_USER_TIMEOUT); 0 for the system's default.

        It also ends a connection whose peer acknowledges but does not read.
        """
        if seconds != self._unacknowledged_s:
            self._unacknowledged_s = seconds
            milliseconds = round(seconds * 1000)
            # Fails on a dead connection only, on which the next read or write fails as well.
            with contextlib.suppress(OSError):
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def arm(self, seconds: float) -> None:
        """Set the deadline to ``seconds`` from now, in place of any earlier one."""
        self.deadline_at = time.monotonic() + seconds

    def disarm(self) -> None:
        """Clear the deadline."""
        self.deadline_at = math.inf

    def expire(self) -> None:
        """Shut down reading, and writing if a write is waiting; wakes up the waiting tasks."""
        self.expired = True
        self.deadline_at = math.inf
        self._shutdown(socket.SHUT_RDWR if self._writing else socket.SHUT_RD)

    def interrupt_reading(self) -> None:
        """Shut down reading: bytes already received can still be read, and writing continues."""
        self.interrupted = True
        self._shutdown(socket.SHUT_RD)

    def evict(self) -> None:
        """End a write that waits for the peer, or else the reading."""
        if self._writing:
            self.expire()
        else:
            self.interrupt_reading()

    def end_writing(self) -> None:
        """Shut down writing, so that the peer sees the end of the stream."""
        self._shutdown(socket.SHUT_WR)

    async def receive(self, size: int = READ_SIZE) -> bytes:
        """Return the next bytes, at most ``size`` of them; empty at the end of the stream.

        Raises:
            OSError: If the connection was reset, or the stream is closed.
        """
        if self.closed:
            raise _closed()
        # The last read emptied the receive buffer, so another one would most likely fail.
        if self._drained:
            await self._wait(traps._read_wait)
        elif self._is_flooded:
            # Without this, a peer that sends fast would keep all other tasks from running.
            await curio.sleep(0)
        while True:
            if self.room is not None and not self.room.is_free:
                # An idle connection needs no room.
                await self._wait(traps._read_wait)
                await self.room.make()
            try:
                data = self._socket.recv(size)
            except (BlockingIOError, InterruptedError):
                await self._wait(traps._read_wait)
                continue
            self._is_flooded = len(data) == size
            self._drained = 0 < len(data) < size
            return data

    def send_now(self, data: bytes | memoryview) -> int:
        """Write as much as possible without waiting, and return the number of bytes written.

        Raises:
            OSError: If the connection can no longer be written to, or the stream is closed.
        """
        if self.closed:
            raise _closed()
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send(self, data: bytes | bytearray) -> None:
        """Write all bytes, waiting while the peer reads slowly.

        Bytes that a cancelled call left unsent are written first by the next call, so that a
        message never continues in the middle of an unfinished chunk.

        Raises:
            OSError: If the connection can't be written to, or a write stalls for too long.
        """
        if data and not self._unsent:
            data = memoryview(data)[self.send_now(data) :]
        if data:
            self._unsent.append(memoryview(data))
        while self._unsent:
            await self._send_rest(self._unsent.pop(0))

    def hold_unsent(self, *parts: memoryview) -> None:
        """Keep parts of bytes that ``send_now`` left over, for the next ``send`` to write first."""
        self._unsent += [part for part in parts if part]

    async def _send_rest(self, rest: memoryview) -> None:
        """Write what is left over; any progress restarts the stall timeout.

        Raises:
            OSError: As for ``send``.
        """
        previous_deadline = self.deadline_at
        self._writing = True
        try:
            while rest:
                self.deadline_at = min(previous_deadline, time.monotonic() + self._stall_s)
                await self._wait(traps._write_wait)
                if self.expired:
                    raise TimeoutError("write timed out: the peer does not read")
                sent = self.send_now(rest)
                rest = rest[sent:]
            self.deadline_at = previous_deadline
        except curio.CancelledError:
            self._unsent = [_frozen(part) for part in (rest, *self._unsent)]
            self.deadline_at = previous_deadline
            raise
        finally:
            self._writing = False

    async def wait_acknowledged(self) -> None:
        """Wait until the peer has received all that was written, which a reset would discard.

        Raises:
            OSError: If the stream is closed, or the peer receives nothing for too long.
        """
        least, progress_at = math.inf, time.monotonic()
        while left := self._unacknowledged_bytes():
            now = time.monotonic()
            if left < least:
                least, progress_at = left, now
            elif now - progress_at >= self._stall_s:
                raise TimeoutError("the peer does not read")
            await curio.sleep(_ACKNOWLEDGEMENT_POLL_S)

    @property
    def has_unacknowledged(self) -> bool:
        """Return whether the peer has not acknowledged all that was written."""
        try:
            return self._unacknowledged_bytes() > 0
        except OSError:
            return False  # The stream is closed.

    def is_dead(self) -> bool:
        """Return whether an idle connection has ended or received unexpected bytes."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed, even if unread bytes are still buffered."""
        try:
            state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return True
        return state in _CLOSED_BY_PEER_STATES

    async def close(self) -> None:
        """Close the socket; bytes already written are still delivered."""
        await self._close(socket.SHUT_RDWR)

    async def reset(self) -> None:
        """Reset the connection, so that the peer sees an error instead of a regular end."""
        # Setting the option fails if the peer has already reset the connection.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        # Shutting down writing would send a regular end ahead of the reset. Only a waiting write
        # needs it, and a regular end stays behind the bytes for which that one waits.
        await self._close(socket.SHUT_RDWR if self._writing else socket.SHUT_RD)

    async def _close(self, how: int) -> None:
        """Close the descriptor, or wake up the waiting tasks by a shutdown to have it closed."""
        self.closed = True
        await traps._io_release(self._descriptor)
        if self._waiting:
            self._shutdown(how)
        else:
            self._socket.close()

    async def _wait(self, wait: Callable[[_Descriptor], Awaitable[None]]) -> None:
        """Wait for the descriptor, and close it if the stream was closed meanwhile.

        Raises:
            OSError: If the stream is closed.
        """
        if self.closed:
            raise _closed()
        self._waiting += 1
        try:
            await wait(self._descriptor)
        finally:
            self._waiting -= 1
            if self.closed and not self._waiting:
                # The kernel drops this task's own registration before another task runs.
                self._socket.close()
        if self.closed:
            raise _closed()

    def _unacknowledged_bytes(self) -> int:
        if self.closed:
            raise _closed()
        # Imported only where a peer is silent or a stream is cut: they make the start-up slower.
        import fcntl
        import termios

        # For a TCP socket this is SIOCOUTQ.
        number = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(number, sys.byteorder)

    def _shutdown(self, how: int) -> None:
        # Fails on a disconnected socket; the disconnect has already woken up its waiting tasks.
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)


def _frozen(part: memoryview) -> memoryview:
    """Return a part that stays as it is when its sender uses its buffer again."""
    return part if isinstance(part.obj, bytes) else memoryview(bytes(part))


def _closed() -> ConnectionAbortedError:
    return ConnectionAbortedError("the stream was closed")


class Sweeper:
    """Expires streams whose deadline has passed, with one task for all of them.

    Setting a timeout costs only one attribute write; in return it fires up to one period late.
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
        """Start the sweeping task."""
        self._task = await vital_tasks.spawn(self._run)

    async def close(self) -> None:
        """Stop the sweeping task; deadlines are no longer enforced."""
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
