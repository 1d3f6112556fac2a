"""Loopback networks for deployments of tests, which no two test processes share."""

import functools
import os
import socket

RESERVING_PORT = 6999
NUMBERS = range(10, 210)


@functools.cache
def _reserve():
    """Return the first two numbers of addresses, and the socket that reserves them."""
    for offset in range(len(NUMBERS)):
        prefix = f"127.{NUMBERS[(os.getpid() + offset) % len(NUMBERS)]}"
        reserving = socket.socket()
        try:
            reserving.bind((f"{prefix}.255.254", RESERVING_PORT))
        except OSError:
            reserving.close()
            continue
        return prefix, reserving
    raise AssertionError("all loopback networks of tests are in use")


def prefix():
    """Return the first two numbers of the addresses that this process may use."""
    return _reserve()[0]
