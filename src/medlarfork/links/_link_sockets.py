"""Open the ZeroMQ sockets of a link."""

from __future__ import annotations

import dataclasses
import os

import zmq

from medlarfork import errors
from medlarfork.links import keys

ROUTE_SEPARATOR = b"/"
"""Separates the name and the random part of a routing id."""

_ZAP_DOMAIN = b"medlarfork"
"""Name of the authentication domain of all links."""

_NONCE_BYTES = 8
"""Size of the random part of a routing id."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOptions:
    """Limits and timeouts of a link.

    Attributes:
        queue_limit: Maximum messages queued per peer and direction, and in the inbox.
        message_bytes: Maximum size of a message that is sent or accepted, in bytes.
        route_limit: Maximum peers that can be answered over connections that they opened.
        socket_limit: Maximum open sockets; limits the number of peers connected to.
        heartbeat_s: Time between heartbeats on each connection, in seconds.
        idle_timeout_s: Time without traffic after which a connection is closed, in seconds; also
            applies to a peer that reads nothing for so long.
        reconnect_s: Initial delay before a reconnect, in seconds.
        max_reconnect_s: Maximum delay before a reconnect, in seconds.
        connect_timeout_s: Timeout of an attempt to connect, after which a new one is started, in
            seconds. The kernel resends a lost SYN after 1, 2, 4 and more seconds, so an attempt
            that started during a network partition would end long after the partition has healed.
        linger_s: How long ``close`` may wait for messages that have just been sent, in seconds.
    """

    queue_limit: int = 1000
    message_bytes: int = 4 << 20
    route_limit: int = 4096
    socket_limit: int = 4096
    heartbeat_s: float = 2.0
    idle_timeout_s: float = 6.0
    reconnect_s: float = 0.1
    max_reconnect_s: float = 2.0
    connect_timeout_s: float = 2.0
    linger_s: float = 0.1


class LinkSockets:
    """Open sockets with the options of one link."""

    def __init__(self, context: zmq.Context, options: LinkOptions) -> None:
        """Prepare for one ZeroMQ context."""
        self._context = context
        self._options = options

    def open_router(self, address: str, own: keys.LinkKeys | None) -> zmq.Socket:
        """Return a ROUTER socket that listens for peers.

        Raises:
            zmq.ZMQError: The address can't be bound.
        """
        socket = self._open(zmq.ROUTER, own)
        # A peer that reconnects after a silent connection loss takes over its route from the dead
        # connection.
        socket.router_handover = 1
        # Without this, a message to a route that no longer exists would be lost without an error.
        socket.router_mandatory = 1
        if own is not None:
            socket.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)
            socket.curve_server = 1
        try:
            socket.bind(address)
        except zmq.ZMQError:
            socket.close()
            raise
        return socket

    def open_dealer(
        self, identity: str, peer_id: str, address: str, own: keys.LinkKeys | None
    ) -> zmq.Socket:
        """Return a DEALER socket that connects to a peer.

        Raises:
            errors.LinkError: The peer's public key is not known.
            zmq.ZMQError: The address is malformed.
        """
        server_key = None if own is None else _server_key(own, peer_id)
        socket = self._open(zmq.DEALER, own)
        socket.routing_id = _new_routing_id(identity)
        socket.immediate = 1
        if server_key is not None:
            socket.curve_serverkey = server_key
        try:
            socket.connect(address)
        except zmq.ZMQError:
            socket.close()
            raise
        return socket

    def _open(self, kind: int, own: keys.LinkKeys | None) -> zmq.Socket:
        options = self._options
        socket = self._context.socket(kind)
        # Without a domain, bytes of any kind are read as frames of ZMTP 1.0, without end.
        socket.zap_domain = _ZAP_DOMAIN
        socket.linger = _milliseconds(options.linger_s)
        socket.sndhwm = options.queue_limit
        socket.rcvhwm = options.queue_limit
        socket.maxmsgsize = options.message_bytes
        socket.heartbeat_ivl = _milliseconds(options.heartbeat_s)
        socket.heartbeat_timeout = _milliseconds(options.idle_timeout_s)
        socket.heartbeat_ttl = _milliseconds(options.idle_timeout_s)
        # A refused peer is only disconnected when the handshake times out, and then retries.
        socket.handshake_ivl = _milliseconds(options.idle_timeout_s)
        socket.tcp_keepalive = 1
        socket.connect_timeout = _milliseconds(options.connect_timeout_s)
        socket.reconnect_ivl = _milliseconds(options.reconnect_s)
        socket.reconnect_ivl_max = _milliseconds(options.max_reconnect_s)
        if own is not None:
            socket.curve_publickey = own.public
            socket.curve_secretkey = own.secret
        return socket


def _server_key(own: keys.LinkKeys, peer_id: str) -> bytes:
    known = own.public_by_name.get(peer_id)
    if known is None:
        raise errors.LinkError(
            f"The public key of {peer_id} is not known.",
            remedy=f"Copy {peer_id}{keys.PUBLIC_SUFFIX} into the folder of keys.",
        )
    return known


def _new_routing_id(identity: str) -> bytes:
    """Return a new routing id for one connection.

    Only this peer knows its random part, so that no other holder of a known key can take over the
    connection's route.
    """
    nonce = os.urandom(_NONCE_BYTES).hex()
    return identity.encode() + ROUTE_SEPARATOR + nonce.encode()


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
