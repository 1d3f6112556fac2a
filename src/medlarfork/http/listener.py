"""Open the socket that a server accepts connections from.

A program may do so long before its server starts: callers then wait in the system's queue instead
of being refused. After all processes were killed at once, those that are refused meet the same at
every other host, and few try more than twice.
"""

from __future__ import annotations

import socket

from medlarfork import errors

BACKLOG = 1024
"""Connections the system holds until they are accepted."""


def open_at(host: str, port: int) -> socket.socket:
    """Return a socket that listens and does not block.

    Args:
        host: IP number to listen on.
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
            remedy="Set an address of this host and a free port.",
        ) from error
    return listener


def open_address(address: str) -> socket.socket:
    """Return a socket that listens at ``IP:PORT``, as settings give addresses.

    Raises:
        errors.SettingsError: The address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    return open_at(host, int(port))
