"""Measure what claims cost as their number grows: time, memory and snapshots.

Run as ``python -m measure.claim_table [--quick]``. Claims are of 220 accounts, under UUIDv7 keys
a millisecond apart, and finished with an answer that is too large to be kept; one column is for
claims that still run.
"""

from __future__ import annotations

import dataclasses
import gc
import random
import sys
import time
import tracemalloc

from absl import flags

from medlarfork import claim, uuid7
from medlarfork.control import replicated_state

_FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Leave out the largest table.", flag_values=_FLAGS)

_SIZES = (1_000, 10_000, 100_000, 1_000_000)
_ACCOUNTS = 220
_BATCH = 100
_TIMED = 2_000
"""Claims whose requests and finishes are timed in a table of each size."""

_RUNS = 5
_EPOCH_MS = 1_764_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Report a table of one size; times are of one core, with decoding from the log."""

    claims: int
    bytes_per_claim: float
    bytes_per_running_claim: float
    us_per_claim: float
    encode_ms: float
    encode_slowest_ms: float
    restore_ms: float
    snapshot_bytes_per_claim: float


def _claims(first: int, count: int) -> list[claim.ClaimRequest]:
    generator = random.Random(first)
    requests = []
    for number in range(first, first + count):
        text = uuid7.make(_EPOCH_MS + number, generator.randbytes(uuid7.RANDOM_BYTES))
        key = claim.ClaimKey(f"account-{number % _ACCOUNTS}", text)
        holder = claim.Holder(f"entry-{number % 390}", _EPOCH_MS, f"request-{number}")
        digest = generator.randbytes(32).hex()
        requests.append(claim.ClaimRequest(key, holder, digest))
    return requests


def _commands(first: int, count: int) -> list[bytes]:
    """Return the packed batches that grant claims and finish them."""
    commands = []
    for start in range(first, first + count, _BATCH):
        asked = _claims(start, min(_BATCH, first + count - start))
        answer = claim.StoredAnswer(200, "application/json", b"", kept=False)
        finishes = [claim.ClaimFinish(item.key, item.holder, answer) for item in asked]
        granted = tuple(replicated_state.ClaimOperation(request=item) for item in asked)
        finished = tuple(replicated_state.ClaimOperation(finish=item) for item in finishes)
        for operations in (granted, finished):
            batch = replicated_state.ClaimBatch(_EPOCH_MS + start, operations)
            commands.append(replicated_state.COMMANDS.pack(batch))
    return commands


def _make_state(claims: int) -> replicated_state.ReplicatedState:
    limits = replicated_state.ClaimLimits(claims=4 * claims + 4 * _TIMED)
    return replicated_state.ReplicatedState(claim_limits=limits)


def _fill(state: replicated_state.ReplicatedState, claims: int, *, finished: bool = True) -> None:
    for start in range(0, claims, 10_000):
        commands = _commands(start, min(10_000, claims - start))
        for command in commands if finished else commands[::2]:
            state.apply(command)
    if state.claim_count != claims:
        raise RuntimeError(f"{state.claim_count} claims are kept of {claims}.")


def _memory(claims: int, *, finished: bool) -> float:
    """Return the bytes that the state has grown by, for each claim."""
    state = _make_state(claims)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    _fill(state, claims, finished=finished)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / claims


def _measure(claims: int) -> Cost:
    bytes_per_claim = _memory(claims, finished=True)
    bytes_per_running_claim = _memory(claims, finished=False)
    state = _make_state(claims)
    _fill(state, claims)
    encodes = []
    for _ in range(_RUNS):
        begun = time.perf_counter()
        encoded = state.encode()
        encodes.append((time.perf_counter() - begun) * 1e3)
    copy = _make_state(claims)
    begun = time.perf_counter()
    copy.restore(encoded)
    restore_ms = (time.perf_counter() - begun) * 1e3
    commands = _commands(claims, _TIMED)
    begun = time.perf_counter()
    for command in commands:
        state.apply(command)
    took_us = (time.perf_counter() - begun) * 1e6
    median_ms = sorted(encodes)[_RUNS // 2]
    return Cost(
        claims,
        bytes_per_claim,
        bytes_per_running_claim,
        took_us / _TIMED,
        median_ms,
        max(encodes),
        restore_ms,
        len(encoded) / claims,
    )


def main(arguments: list[str]) -> None:
    """Measure each size and print a table."""
    _FLAGS(arguments)
    sizes = _SIZES[:-1] if _FLAGS.quick else _SIZES
    print(
        f"{'claims':>9} {'B/claim':>8} {'running':>8} {'us/claim':>9} {'encode ms':>10} "
        f"{'slowest':>8} {'restore ms':>11} {'snapshot B':>11}"
    )
    for size in sizes:
        cost = _measure(size)
        print(
            f"{cost.claims:>9} {cost.bytes_per_claim:>8.0f} "
            f"{cost.bytes_per_running_claim:>8.0f} {cost.us_per_claim:>9.1f} "
            f"{cost.encode_ms:>10.2f} {cost.encode_slowest_ms:>8.2f} {cost.restore_ms:>11.1f} "
            f"{cost.snapshot_bytes_per_claim:>11.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv)
