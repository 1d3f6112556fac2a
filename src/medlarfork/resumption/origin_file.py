"""File of the origins that a replica was told, so that a restart of all processes loses none.

Two files are written in turn, which bounds the disk. Records are appended; the first one that is
torn or damaged ends what is read from its file. The calls block; run them in a thread, one at a
time.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import time
import zlib
from typing import IO

import msgspec

from medlarfork.resumption import origin_messages

NAMES = ("origins", "origins.previous")
"""Names of the file that is appended to, and of the one before it."""

MAX_FILE_BYTES = 4_000_000
"""Size from which the next file is begun: the streams of about a quarter of a minute in the largest
deployments, and of hours in small ones."""

SYNC_PERIOD_S = 0.5
"""Minimum interval between two syncs, in seconds: the journal of the log uses the same disk."""

_LENGTH_BYTES = 4
_HEAD_BYTES = 2 * _LENGTH_BYTES
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(origin_messages.OriginReport)


class OriginFile:
    """Owns the two files in a replica's data folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Prepare; no file is touched before ``start``."""
        self._folder = folder
        self._path, self._previous_path = (folder / name for name in NAMES)
        self._file: IO[bytes] | None = None
        self._synced_at = 0.0

    def start(self) -> tuple[origin_messages.OriginGroup, ...]:
        """Return what the files hold, the newest last, and open the newer one to append to it.

        A file that can't be read counts as empty: its streams are refused.
        """
        previous, _ = _read(self._previous_path)
        current, good_bytes = _read(self._path)
        # If the disk refuses this, the next write tries again.
        with contextlib.suppress(OSError):
            self._open().truncate(good_bytes)
        return (*previous, *current)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def append(self, groups: tuple[origin_messages.OriginGroup, ...]) -> None:
        """Append origins, and sync them if the last sync was a while ago.

        Versions without streams are synced at once: after a power loss, a version that is missing
        would make another one look like the only one.

        Raises:
            OSError: The disk is full or has failed; nothing but these origins is lost.
        """
        body = _ENCODER.encode(origin_messages.OriginReport(groups))
        record = len(body).to_bytes(_LENGTH_BYTES, "big") + _checksum(body) + body
        file = self._file or self._open()
        start = file.seek(0, os.SEEK_END)
        if start > MAX_FILE_BYTES:
            file, start = self._begin_next(), 0
        rest = memoryview(record)
        try:
            while rest:
                rest = rest[file.write(rest) :]
            has_versions = any(not group.keys for group in groups)
            if has_versions or time.monotonic() >= self._synced_at + SYNC_PERIOD_S:
                self._synced_at = time.monotonic()
                os.fsync(file.fileno())
        except OSError:
            # A torn record would hide those that follow it.
            with contextlib.suppress(OSError):
                file.truncate(start)
            raise

    def _open(self) -> IO[bytes]:
        self.close()
        self._file = self._path.open("ab", buffering=0)
        return self._file

    def _begin_next(self) -> IO[bytes]:
        self._path.rename(self._previous_path)
        file = self._open()
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        return file


def _read(path: pathlib.Path) -> tuple[list[origin_messages.OriginGroup], int]:
    """Return the origins in a file and their bytes, up to a record that is torn or damaged."""
    groups: list[origin_messages.OriginGroup] = []
    try:
        data = path.read_bytes()
    except OSError:
        return groups, 0
    start = 0
    while start + _HEAD_BYTES <= len(data):
        length = int.from_bytes(data[start : start + _LENGTH_BYTES], "big")
        end = start + _HEAD_BYTES + length
        body = data[start + _HEAD_BYTES : end]
        is_whole = len(body) == length
        if not is_whole or _checksum(body) != data[start + _LENGTH_BYTES : start + _HEAD_BYTES]:
            break
        try:
            groups += _DECODER.decode(body).groups
        except msgspec.MsgspecError:
            break
        start = end
    return groups, start


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(_LENGTH_BYTES, "big")
