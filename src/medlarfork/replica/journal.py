"""The journal of a replica on disk: one file that is appended to and synced.

A snapshot is the first record of a new file, which replaces the old one by a rename, so snapshot
and journal are always consistent. Every frame is verified at start. A torn tail is truncated: it
comes from a write that was never reported as synced. Any other damage is an error, since a replica
that lost its votes or acknowledged entries must not vote.

Two cases can't be distinguished in the file: a last record that is corrupted after its sync is
truncated like a torn one, which is not safe; only the disk itself can prevent that.

A write that fails on a full disk does no harm: its partial data is truncated, and the same records
can be written once there is space.

The calls block; run them in a thread, one at a time.
"""

from __future__ import annotations

import errno
import fcntl
import os
import pathlib
from collections.abc import Iterable
from typing import IO, NoReturn

from medlarfork import errors
from medlarfork.replica import _journal_format, replica_types

JOURNAL_NAME = "journal"
"""Name of the file with the snapshot and the records after it."""

NEW_JOURNAL_NAME = "journal.new"
"""Name of a file that is being written and will replace the journal."""

_NO_ROOM = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Errors of a full disk or quota: only the write that failed is lost, and can be retried."""

LOCK_NAME = "lock"
"""Name of the file that is locked so that no second process uses the folder."""


class Journal:
    """Own the files of one data folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Prepare; no file is touched before ``start``."""
        self._folder = folder
        self._path = folder / JOURNAL_NAME
        self._lock: IO[bytes] | None = None
        self._file: IO[bytes] | None = None
        self._salt = b""
        self._checksum = 0
        self._synced_bytes = 0

    def start(self) -> replica_types.Restored:
        """Lock the folder, creating it if necessary, and read its contents.

        Raises:
            errors.JournalError: Another process uses the folder.
            errors.DamagedJournalError: The journal is damaged other than by a torn tail.
        """
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._take_lock()
        (self._folder / NEW_JOURNAL_NAME).unlink(missing_ok=True)
        if not self._path.exists():
            self._replace((), has_snapshot=False)
            _sync_folder(self._folder.parent)
            return replica_types.Restored()
        contents = _journal_format.decode(self._path.read_bytes())
        if contents.is_damaged or contents.header is None:
            self._raise_damaged(contents.good_bytes)
        self._open(contents.header.salt, contents.checksum, contents.good_bytes)
        self._truncate_tail(contents.good_bytes)
        return _restored(contents.records, contents.header.has_snapshot)

    def close(self) -> None:
        """Close the files and release the lock."""
        if self._file is not None:
            self._file.close()
            self._file = None
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    def append_and_sync(self, records: Iterable[bytes]) -> None:
        """Append records with a single sync; return once they are on disk.

        Raises:
            errors.DiskFullError: The disk is full; the same records may be written again later.
            errors.JournalError: The write or the sync failed. The state of the disk is unknown
                from then on, so the journal accepts no further write and the process must exit.
        """
        file = self._writable()
        frames, checksum = _journal_format.encode_frames(
            records, salt=self._salt, checksum=self._checksum, synced_bytes=self._synced_bytes
        )
        try:
            _write_and_sync(file, frames)
        except OSError as error:
            self._raise_if_full(error)
            self._raise_failed(error)
        self._checksum = checksum
        self._synced_bytes += len(frames)

    def save_snapshot(self, snapshot: bytes, records: Iterable[bytes]) -> None:
        """Replace the journal by a snapshot and records; return once they are on disk.

        Raises:
            errors.DiskFullError: As for ``append_and_sync``.
            errors.JournalError: As for ``append_and_sync``.
        """
        self._writable()
        try:
            self._replace((snapshot, *records), has_snapshot=True)
        except OSError as error:
            self._raise_if_full(error)
            self._raise_failed(error)

    def _replace(self, records: tuple[bytes, ...], *, has_snapshot: bool) -> None:
        salt = os.urandom(_journal_format.SALT_BYTES)
        first = _journal_format.first_checksum(salt)
        frames, checksum = _journal_format.encode_frames(
            records, salt=salt, checksum=first, synced_bytes=0
        )
        size_bytes = _journal_format.HEADER_BYTES + len(frames)
        header = _journal_format.Header(salt, has_snapshot, synced_bytes=size_bytes)
        new_path = self._folder / NEW_JOURNAL_NAME
        with new_path.open("wb", buffering=0) as file:
            _write_and_sync(file, _journal_format.encode_header(header) + frames)
        new_path.rename(self._path)
        _sync_folder(self._folder)
        self._open(salt, checksum, size_bytes)

    def _open(self, salt: bytes, checksum: int, synced_bytes: int) -> None:
        if self._file is not None:
            self._file.close()
        self._file = self._path.open("ab", buffering=0)
        self._salt = salt
        self._checksum = checksum
        self._synced_bytes = synced_bytes

    def _truncate_tail(self, good_bytes: int) -> None:
        file = self._writable()
        if file.seek(0, os.SEEK_END) > good_bytes:
            file.truncate(good_bytes)
        os.fsync(file.fileno())

    def _writable(self) -> IO[bytes]:
        if self._file is None:
            raise errors.JournalError(
                f"The journal in {self._folder} is not open for writing.",
                remedy="Restart the process.",
            )
        return self._file

    def _take_lock(self) -> None:
        lock = (self._folder / LOCK_NAME).open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            lock.close()
            raise errors.JournalError(
                f"Another process uses the data folder {self._folder}.",
                remedy="Give every replica a data folder of its own.",
            ) from error
        self._lock = lock

    def _raise_if_full(self, error: OSError) -> None:
        """Raise DiskFullError for a write that failed on a full disk, after removing its data."""
        if error.errno not in _NO_ROOM or self._file is None:
            return
        try:
            (self._folder / NEW_JOURNAL_NAME).unlink(missing_ok=True)
            self._file.truncate(self._synced_bytes)
        except OSError:
            return  # The caller then reports the original error as a failed write.
        raise errors.DiskFullError(
            f"The disk of the data folder {self._folder} is full.",
            remedy="Free disk space; the write is retried.",
        ) from error

    def _raise_failed(self, error: OSError) -> NoReturn:
        """Close the file and raise: after a failed sync, a second one may falsely succeed."""
        if self._file is not None:
            self._file.close()
            self._file = None
        raise errors.JournalError(
            f"Writing to the data folder {self._folder} failed: {error}.",
            remedy="Check the disk, then start the process again.",
        ) from error

    def _raise_damaged(self, good_bytes: int) -> NoReturn:
        self.close()
        raise errors.DamagedJournalError(
            f"{self._path} is damaged after byte {good_bytes}.",
            remedy="Move the data folder away and start the replica with an empty one: "
            "it returns without a vote until it has caught up.",
        )


def _restored(records: tuple[bytes, ...], has_snapshot: bool) -> replica_types.Restored:
    if has_snapshot:
        return replica_types.Restored(records[1:], records[0], fresh=False)
    return replica_types.Restored(records, None, fresh=not records)


def _write_and_sync(file: IO[bytes], data: bytes) -> None:
    """Write all of the data, which may take several calls, and sync it."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]
    os.fsync(file.fileno())


def _sync_folder(folder: pathlib.Path) -> None:
    """Make a rename in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
