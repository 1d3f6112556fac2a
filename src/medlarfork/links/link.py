"""Exchange messages between processes over ZeroMQ, under curio.

A link binds one ROUTER socket, which peers connect to, and opens one DEALER socket for each peer
that it connects to. Messages may be lost, delayed, duplicated or reordered; they are never
truncated, and, if keys are in use, never attributed to another sender.

A link never queues messages for a peer without a connection (``zmq.IMMEDIATE``): they would be
outdated when delivered after a reconnect, and the decision modules resend what is needed.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

import curio
import zmq

from medlarfork import codec, errors, node, vital_tasks
from medlarfork.links import _link_sockets, _zmq_poller, keys

if TYPE_CHECKING:
    from medlarfork.links import _connection_watch, _zap

_BATCH = 64
"""Maximum number of messages received from one socket before the others are served."""

_PARTS = 2
"""Frames of a message: kind and body. On the ROUTER socket, a routing id precedes them."""


_LAST_PART = int(zmq.NOBLOCK)
"""Send flags of a message's last part. Flags are plain integers and parts are sent one by one,
because the library's enum constants cost as much time as the sending itself."""

_MORE_PARTS = int(zmq.NOBLOCK | zmq.SNDMORE)
"""Send flags of the parts before the last one."""

LinkOptions = _link_sockets.LinkOptions
"""Limits and timeouts of a link."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkCounters:
    """Counters of a link since its start.

    Attributes:
        dropped: Messages not sent: no connection, queue full, or message too large.
        malformed: Received messages that could not be decoded.
        impostors: Received messages whose sender name does not match the authenticated key.
        refused_keys: Connections refused because their key is not known.
        endless: Connections closed because a message on them did not end.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    malformed: int = 0
    impostors: int = 0
    refused_keys: int = 0
    endless: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """A peer that this link connects to."""

    peer_id: str
    address: str
    socket: zmq.Socket


class Link:
    """Send messages to peers and receive theirs; may only be used by the tasks of one thread."""

    def __init__(
        self,
        *,
        identity: str,
        codec: codec.Codec,
        bind: str,
        keys: keys.LinkKeys | None = None,
        options: LinkOptions = LinkOptions(),  # noqa: B008 - frozen
    ) -> None:
        """Prepare a link that other processes know as ``identity``.

        Args:
            bind: ``tcp://IP:PORT`` to listen on; port 0 lets the system choose.
            keys: Own key pair and known public keys; None for links without authentication.

        Raises:
            errors.LinkError: The identity is invalid or does not match the name of the keys.
        """
        _check_identity(identity, keys)
        self._identity = identity
        self._codec = codec
        self._bind = bind
        self._keys = keys
        self._options = options
        self._peer_by_id: dict[str, _Peer] = {}
        self._peer_by_socket: dict[zmq.Socket, _Peer] = {}
        self._route_by_id: collections.OrderedDict[str, bytes] = collections.OrderedDict()
        self._inbox: curio.Queue = curio.Queue(maxsize=options.queue_limit)
        self._encoded_message: Any = None
        self._encoded = (b"", b"")
        self._counts: collections.Counter[str] = collections.Counter()
        self._context: zmq.Context | None = None
        self._sockets: _link_sockets.LinkSockets | None = None
        self._router: zmq.Socket | None = None
        self._zap: _zap.ZapServer | None = None
        self._poller: _zmq_poller.ZmqPoller | None = None
        self._watch: _connection_watch.ConnectionWatch | None = None
        self._has_drained = False
        self._tasks = vital_tasks.VitalTasks()

    async def start(self) -> None:
        """Listen for peers.

        Raises:
            errors.LinkError: The address can't be bound.
        """
        self._context = zmq.Context()
        self._context.max_sockets = self._options.socket_limit
        self._sockets = _link_sockets.LinkSockets(self._context, self._options)
        self._poller = _zmq_poller.ZmqPoller()
        if self._keys is not None:
            # Imported only where keys are in use: it makes the start-up slower.
            from medlarfork.links import _zap

            self._zap = _zap.ZapServer(self._context, self._keys.public_by_name)
            await self._zap.start()
        try:
            self._router = self._sockets.open_router(self._bind, self._keys)
        except zmq.ZMQError as error:
            await self.close()
            raise errors.LinkError(
                f"Cannot listen on the link address {self._bind}: {error}.",
                remedy="Choose a free port on an IP number of this host.",
            ) from error
        self._poller.add(self._router)
        # Imported here, so that an entry host listens for callers before this is loaded.
        from medlarfork.links import _connection_watch

        self._watch = _connection_watch.ConnectionWatch(self._router, self._options.message_bytes)
        await self._tasks.spawn(self._receive_all)
        await self._tasks.spawn(self._watch_connections, self._watch)

    async def close(self) -> None:
        """Close all connections; waits at most ``linger_s`` for messages that were just sent."""
        await self._tasks.close()
        for peer_id in tuple(self._peer_by_id):
            self.disconnect(peer_id)
        if self._watch is not None:
            self._watch.close()
            self._watch = None
        if self._router is not None:
            self._close_socket(self._router)
            self._router = None
        if self._zap is not None:
            await self._zap.close()
        if self._poller is not None:
            self._poller.close()
            self._poller = None
        if self._context is not None:
            self._context.term()
            self._context = None
            self._sockets = None

    @property
    def address(self) -> str:
        """Return the address that the link listens on, with the actual port."""
        return "" if self._router is None else self._router.LAST_ENDPOINT.decode().rstrip("\0")

    @property
    def counters(self) -> LinkCounters:
        """Return the counters since the start."""
        refused = 0 if self._zap is None else self._zap.refused
        endless = 0 if self._watch is None else self._watch.closed
        return LinkCounters(**self._counts, refused_keys=refused, endless=endless)

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the ids of the peers that ``connect`` was called for, connected or not."""
        return tuple(self._peer_by_id)

    def connect(self, peer_id: str, address: str) -> bool:
        """Connect to a peer, and reconnect whenever the connection is lost.

        A second call with the same address changes nothing; a new address replaces the old one.

        Returns:
            True on success; False if the address is malformed, the peer's key is not known, or
            the link is closed.
        """
        old = self._peer_by_id.get(peer_id)
        if old is not None and old.address == address:
            return True
        if self._sockets is None or self._poller is None:
            return False
        try:
            socket = self._sockets.open_dealer(self._identity, peer_id, address, self._keys)
        except (zmq.ZMQError, errors.LinkError):
            return False
        self.disconnect(peer_id)
        peer = _Peer(peer_id, address, socket)
        self._peer_by_id[peer_id] = peer
        self._peer_by_socket[socket] = peer
        self._poller.add(socket)
        return True

    def disconnect(self, peer_id: str) -> None:
        """Close the connection to a peer, if there is one."""
        peer = self._peer_by_id.pop(peer_id, None)
        if peer is not None:
            del self._peer_by_socket[peer.socket]
            self._close_socket(peer.socket)

    def update_keys(self, known: keys.LinkKeys) -> None:
        """Replace the known public keys; the link's own key pair stays the same."""
        if self._keys is None or self._zap is None:
            return
        self._keys = dataclasses.replace(self._keys, public_by_name=known.public_by_name)
        self._zap.update_keys(known.public_by_name)

    def send(self, peer_id: str, message: Any) -> bool:
        """Send a message without blocking.

        Returns:
            Whether it was queued; False if it was dropped. A queued message may still be lost.
        """
        if message is not self._encoded_message:
            # Replicas send the same message to hundreds of hosts; encode it only once.
            self._encoded_message = message
            self._encoded = self._codec.encode(message)
        kind, body = self._encoded
        size = len(kind) + len(body)
        if size > self._options.message_bytes or not self._send_parts(peer_id, [kind, body]):
            self._counts["dropped"] += 1
            return False
        self._counts["sent"] += 1
        self._counts["sent_bytes"] += size
        return True

    def has_route(self, peer_id: str) -> bool:
        """Return whether the peer can be answered over a connection that it opened to this link."""
        return peer_id in self._route_by_id

    async def receive(self) -> node.MessageReceived:
        """Return the next message from any peer."""
        return await self._inbox.get()

    def _send_parts(self, peer_id: str, parts: list[bytes]) -> bool:
        peer = self._peer_by_id.get(peer_id)
        if peer is not None and self._try_send(peer.socket, parts):
            return True
        route = self._route_by_id.get(peer_id)
        if route is None or self._router is None:
            return False
        if self._try_send(self._router, [route, *parts]):
            return True
        del self._route_by_id[peer_id]
        return False

    def _try_send(self, socket: zmq.Socket, parts: list[bytes]) -> bool:
        try:
            for part in parts[:-1]:
                socket.send(part, _MORE_PARTS)
            socket.send(parts[-1], _LAST_PART)
            is_sent = True
        except zmq.ZMQError:
            # EAGAIN: queue full or no connection; EHOSTUNREACH: the route no longer exists.
            is_sent = False
        # A failed send consumes the socket's edge too. Without marking the socket, messages that
        # had arrived by then, and later ones on that connection, would stay unread until another
        # process sends something.
        if _zmq_poller.has_message(socket) and self._poller is not None:
            self._poller.mark_pending(socket)
        return is_sent

    async def _receive_all(self) -> None:
        assert self._poller is not None
        while True:
            for socket in await self._poller.wait():
                await self._receive_batch(socket)
            await curio.sleep(0)

    async def _watch_connections(self, watch: _connection_watch.ConnectionWatch) -> None:
        while True:
            await curio.sleep(watch.period_s)
            if not watch.is_due():
                continue
            if _zmq_poller.has_message(self._router):
                # Asking consumed the socket's edge.
                self._poller.mark_pending(self._router)
            else:
                self._has_drained = True
            watch.check(is_drained=self._has_drained)
            self._has_drained = False

    async def _receive_batch(self, socket: zmq.Socket) -> None:
        for _ in range(_BATCH):
            if socket.closed:
                return
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                self._has_drained |= socket is self._router
                return
            received = self._accept(socket, frames)
            if received is not None:
                await self._inbox.put(received)
        if not socket.closed and self._poller is not None:
            self._poller.mark_pending(socket)

    def _accept(self, socket: zmq.Socket, frames: list[zmq.Frame]) -> node.MessageReceived | None:
        if socket is self._router:
            self._watch.record_message(frames[0])
            sender = self._sender_of(frames)
            frames = frames[1:]
        else:
            sender = self._peer_by_socket[socket].peer_id
        if sender is None:
            return None
        if len(frames) != _PARTS:
            self._counts["malformed"] += 1
            return None
        kind, body = frames[0].bytes, frames[1].bytes
        try:
            message = self._codec.decode(kind, body)
        except errors.LinkError:
            self._counts["malformed"] += 1
            return None
        self._counts["received"] += 1
        self._counts["received_bytes"] += len(kind) + len(body)
        return node.MessageReceived(sender, message)

    def _sender_of(self, frames: list[zmq.Frame]) -> str | None:
        """Return the sender of a message to the ROUTER socket and store the route for replies."""
        route = frames[0].bytes
        name, separator, _ = route.rpartition(_link_sockets.ROUTE_SEPARATOR)
        sender = name.decode(errors="replace")
        if not separator:
            self._counts["malformed"] += 1
            return None
        if self._keys is not None and not self._is_authentic(sender, frames[-1]):
            self._counts["impostors"] += 1
            return None
        self._route_by_id[sender] = route
        self._route_by_id.move_to_end(sender)
        if len(self._route_by_id) > self._options.route_limit:
            self._route_by_id.popitem(last=False)
        return sender

    def _is_authentic(self, sender: str, frame: zmq.Frame) -> bool:
        assert self._keys is not None
        # Messages over open connections of a key that was removed are rejected, too.
        return frame.get("User-Id") == sender and sender in self._keys.public_by_name

    def _close_socket(self, socket: zmq.Socket) -> None:
        if self._poller is not None:
            self._poller.remove(socket)
        socket.close()


def _check_identity(identity: str, own: keys.LinkKeys | None) -> None:
    keys.check_name(identity)
    if own is not None and own.name != identity:
        raise errors.LinkError(
            f"The keys belong to {own.name}, not to {identity}.",
            remedy="Load the keys under the process's own name.",
        )
