"""Measure a link over loopback: round trips, throughput and memory, without and with keys.

Run it as ``python -m measure.link_latency``; it takes a few seconds.
"""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import resource
import statistics
import tempfile
import time
from collections.abc import AsyncIterator

import curio
import psutil

from medlarfork import codec
from medlarfork.links import keys, link

ROUND_TRIPS = 3000
BURST = 500
BURSTS = 40
PEERS = 100
BODY_BYTES = 200
CONNECT_PAUSE_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Carry a body there and back."""

    number: int
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFigures:
    """Hold the figures of one kind of link.

    Attributes:
        median_us: Median round trip, in microseconds.
        p99_us: 99th percentile of the round trips, in microseconds.
        messages_per_s: Messages received a second, sent in bursts by the same thread.
        kb_per_peer: Growth of resident memory with each connection, both ends, in KiB.
    """

    name: str
    median_us: float
    p99_us: float
    messages_per_s: float
    kb_per_peer: float


CODEC = codec.Codec([Ping])


async def measure(name: str, folder: pathlib.Path | None) -> LinkFigures:
    """Measure links without keys, or with those of a folder."""
    async with pair(folder) as (a, b):
        times_us = await round_trips(a, b)
        messages_per_s = await throughput(a, b)
    kb_per_peer = await memory(folder)
    cuts = statistics.quantiles(times_us, n=100)
    return LinkFigures(name, cuts[49], cuts[98], messages_per_s, kb_per_peer)


@contextlib.asynccontextmanager
async def pair(folder: pathlib.Path | None) -> AsyncIterator[tuple[link.Link, link.Link]]:
    """Open two links that are connected to each other."""
    a, b = make_link("a", folder), make_link("b", folder)
    await a.start()
    await b.start()
    await connect(a, "b", b)
    yield a, b
    await a.close()
    await b.close()


def make_link(name: str, folder: pathlib.Path | None) -> link.Link:
    """Return a link that is not open yet."""
    own = None if folder is None else keys.LinkKeys.load(folder, name)
    return link.Link(identity=name, codec=CODEC, bind="tcp://127.0.0.1:0", keys=own)


async def connect(sender: link.Link, peer_id: str, peer: link.Link) -> None:
    """Connect and wait until a message has passed."""
    sender.connect(peer_id, peer.address)
    while not sender.send(peer_id, Ping(0, "")):
        await curio.sleep(CONNECT_PAUSE_S)
    await peer.receive()


async def round_trips(a: link.Link, b: link.Link) -> list[float]:
    """Return the times of round trips in microseconds."""
    echo = await curio.spawn(answer_all, b, daemon=True)
    message = Ping(1, "x" * BODY_BYTES)
    times_us = []
    for _ in range(ROUND_TRIPS):
        begun = time.perf_counter()
        a.send("b", message)
        await a.receive()
        times_us.append((time.perf_counter() - begun) * 1e6)
    await echo.cancel()
    return times_us


async def answer_all(b: link.Link) -> None:
    """Send every message back."""
    while True:
        received = await b.receive()
        b.send(received.sender, received.message)


async def throughput(a: link.Link, b: link.Link) -> float:
    """Return messages per second."""
    message = Ping(1, "x" * BODY_BYTES)
    begun = time.perf_counter()
    count = 0
    for _ in range(BURSTS):
        sent = sum(a.send("b", message) for _ in range(BURST))
        for _ in range(sent):
            await b.receive()
        count += sent
    return count / (time.perf_counter() - begun)


async def memory(folder: pathlib.Path | None) -> float:
    """Return resident memory per connection in KiB; both of its ends are in this process."""
    names = [f"peer-{number}" for number in range(PEERS)]
    async with pair(folder) as (a, b):
        if folder is not None:
            b_public = keys.LinkKeys.load(folder, "b").public
            own = keys.LinkKeys.load(folder, "a")
            known = own.public_by_name | dict.fromkeys(names, b_public)
            a.update_keys(dataclasses.replace(own, public_by_name=known))
        before = psutil.Process().memory_info().rss
        for name in names:
            await connect(a, name, b)
        return (psutil.Process().memory_info().rss - before) / PEERS / 1024


async def main() -> list[LinkFigures]:
    """Measure both kinds."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for identity in ("a", "b"):
            keys.generate(folder, identity)
        return [await measure("plain", None), await measure("curve", folder)]


if __name__ == "__main__":
    for figures in curio.run(main):
        print(
            f"{figures.name}: round trip median {figures.median_us:.0f} us"
            f" p99 {figures.p99_us:.0f} us, {figures.messages_per_s:.0f} messages/s,"
            f" {figures.kb_per_peer:.0f} KiB per connection, both ends"
        )
    print(f"peak RSS {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB")
