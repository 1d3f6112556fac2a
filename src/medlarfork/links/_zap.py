"""Authenticate connections by public key, with the ZeroMQ Authentication Protocol (ZAP)."""

from __future__ import annotations

import curio
import zmq
import zmq.utils.z85

from medlarfork import vital_tasks
from medlarfork.links import _zmq_poller

ZAP_ADDRESS = "inproc://zeromq.zap.01"
"""Address at which ZeroMQ sends requests to the authenticator of a context."""

_VERSION = b"1.0"
_MECHANISM = b"CURVE"
_CURVE_FRAMES = 7
_REQUEST_ID, _MECHANISM_AT, _KEY_AT = 1, 5, 6
_NO_REQUEST_ID = b""
_ACCEPTED = b"200"
_TRY_AGAIN = b"300"
"""Refuse temporarily: the peer keeps reconnecting, as its key may be copied here later."""


class ZapServer:
    """Answer ZAP requests: whether a public key is known, and under which name.

    Attributes:
        refused: Connections refused since the start.
    """

    def __init__(self, context: zmq.Context, public_by_name: dict[str, bytes]) -> None:
        """Prepare for one ZeroMQ context."""
        self.refused = 0
        self._context = context
        self._name_by_public: dict[bytes, str] = {}
        self._socket: zmq.Socket | None = None
        self._poller: _zmq_poller.ZmqPoller | None = None
        self._task: curio.Task | None = None
        self.update_keys(public_by_name)

    def update_keys(self, public_by_name: dict[str, bytes]) -> None:
        """Accept exactly these keys from now on."""
        self._name_by_public = {public: name for name, public in public_by_name.items()}

    async def start(self) -> None:
        """Start to answer requests; call it before any other socket of the context is bound."""
        self._socket = self._context.socket(zmq.REP)
        self._socket.linger = 0
        self._socket.bind(ZAP_ADDRESS)
        self._poller = _zmq_poller.ZmqPoller()
        self._poller.add(self._socket)
        self._task = await vital_tasks.spawn(self._serve)

    async def close(self) -> None:
        """Stop answering requests and close the socket."""
        if self._task is None or self._poller is None or self._socket is None:
            return
        await self._task.cancel()
        self._task = None
        self._poller.remove(self._socket)
        self._poller.close()
        self._socket.close()

    def answer(self, frames: list[bytes]) -> list[bytes]:
        """Return the frames of the reply to one request."""
        request_id = frames[_REQUEST_ID] if len(frames) > _REQUEST_ID else _NO_REQUEST_ID
        name = self._name_of(frames)
        if name is None:
            self.refused += 1
            return [_VERSION, request_id, _TRY_AGAIN, b"unknown key", b"", b""]
        return [_VERSION, request_id, _ACCEPTED, b"OK", name.encode(), b""]

    def _name_of(self, frames: list[bytes]) -> str | None:
        if len(frames) != _CURVE_FRAMES or frames[0] != _VERSION:
            return None
        if frames[_MECHANISM_AT] != _MECHANISM:
            return None
        return self._name_by_public.get(zmq.utils.z85.encode(frames[_KEY_AT]))

    async def _serve(self) -> None:
        assert self._poller is not None
        while True:
            for ready in await self._poller.wait():
                ready.send_multipart(self.answer(ready.recv_multipart(zmq.NOBLOCK)))
                # The send may have consumed the edge that announced the next request.
                self._poller.mark_pending(ready)
            await curio.sleep(0)
