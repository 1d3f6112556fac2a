"""Partition an entry host from all upstreams by relays in its connections to them."""

import contextlib
import errno
import socket
import struct

import curio

from medlarfork.http import _http_pool

RESET = struct.pack("ii", 1, 0)


class Partition:
    """Passes the bytes of an entry host's upstream connections on until it is cut.

    ``refused`` resets open connections and refuses new ones, ``silent`` holds back all bytes, and
    ``live`` refuses new connections only.
    """

    def __init__(self, entry):
        self.mode = ""
        self.connects = 0
        self._lost_connects = 0
        self._entry = entry
        self._pairs = []
        self._connect = entry._client._pool._connect
        entry._client._pool._connect = self.connect

    async def cut(self, mode):
        self.mode = mode
        if mode == "refused":
            await self.reset()

    async def reset(self):
        """Reset the open connections."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            await pair.reset()

    def forget(self):
        """Reset each open connection as soon as the entry host sends on it."""
        for pair in self._pairs:
            pair.is_forgotten = True

    def lose(self, connects):
        """Leave the next attempts to connect unanswered."""
        self._lost_connects = connects

    async def heal(self):
        self.mode = ""
        for pair in self._pairs:
            await pair.resume()

    async def connect(self, address, within_s):
        self.connects += 1
        if self.mode in ("refused", "live"):
            cause = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
            raise _http_pool._not_connected(address, "refused") from cause
        is_lost = self._lost_connects > 0
        self._lost_connects -= is_lost
        if self.mode == "silent" or is_lost:
            await curio.sleep(within_s)
            raise _http_pool._not_connected(address, "no answer") from curio.TaskTimeout(within_s)
        upstream = await self._connect(address, within_s)
        with socket.create_server(("127.0.0.1", 0)) as listening:
            near = socket.create_connection(listening.getsockname())
            far, _ = listening.accept()
        near.setblocking(False)
        pair = _Pair(self, far, upstream)
        self._pairs.append(pair)
        await pair.start()
        return near


class _Pair:
    """Two connected sockets, each of which gets the bytes of the other."""

    def __init__(self, partition, far, upstream):
        self._partition = partition
        self._sockets = [curio.io.Socket(far), curio.io.Socket(upstream)]
        self._resumed = curio.Event()
        self._tasks = []
        self.is_forgotten = False

    async def start(self):
        first, second = self._sockets
        self._tasks = [
            await curio.spawn(self._pump, first, second, daemon=True),
            await curio.spawn(self._pump, second, first, daemon=True),
        ]

    async def resume(self):
        await self._resumed.set()

    async def reset(self):
        for task in self._tasks:
            await task.cancel()
        for item in self._sockets:
            with contextlib.suppress(OSError):
                item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await item.close()

    async def _pump(self, source, target):
        with contextlib.suppress(OSError):
            while data := await source.recv(65536):
                while self._partition.mode == "silent":
                    self._resumed.clear()
                    await self._resumed.wait()
                if self.is_forgotten:
                    await curio.spawn(self.reset, daemon=True)
                    return
                await target.sendall(data)
        with contextlib.suppress(OSError):
            await target.shutdown(socket.SHUT_WR)
