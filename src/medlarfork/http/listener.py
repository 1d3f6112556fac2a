"""Listening sockets of servers.

A program may open its socket long before its server starts, so that connections wait in the
backlog instead of being refused. This matters after all processes were killed at once: a caller
that is refused by one host is then refused by every other host, and few callers retry more than
twice.
"""

from __future__ import annotations

import socket

from medlarfork import errors

BACKLOG = 1024
"""Maximum number of connections that the system queues until they are accepted."""


def open_at(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that listens.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 lets the system choose.

    Raises:
        errors.SettingsError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        shown = f"[{host}]" if ":" in host else host
        raise errors.SettingsError(
            f"Can't listen on http://{shown}:{port}: {error.strerror}.",
            remedy="Configure an address of this host and a free port.",
        ) from error
    return listener


def open_address(address: str) -> socket.socket:
    """Return a socket that listens at an address of the form ``IP:PORT``, as in settings.

    Raises:
        errors.SettingsError: The address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    return open_at(host, int(port))
