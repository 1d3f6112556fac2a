"""Server whose connections a test serves byte by byte."""

import socket

import curio


class RawServer:
    """Accepts connections; each is passed to ``_serve`` in a task of its own.

    Attributes:
        address: ``IP:PORT``, once started.
    """

    def __init__(self, host="127.0.0.1", port=0):
        self._place = host, port
        self._tasks = []

    async def start(self):
        self._listener = curio.socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self._place)
        self._listener.listen(50)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._tasks.append(await curio.spawn(self._accept, daemon=True))

    async def close(self, within_s=0.0):
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._tasks.append(await curio.spawn(self._serve, sock, daemon=True))
