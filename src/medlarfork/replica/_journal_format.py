"""Lay out a journal file: a header, then one frame for each record.

A frame is a marker, the record's length, how far the file was known to be synced when the frame was
written, two checksums and the record. One checksum covers the frame alone, so that a whole frame is
recognised wherever it lies; the other also covers the chained checksum of the frame before, so that
lost, repeated and reordered frames are seen.

After a power loss, each write since the last sync may be there, missing or torn, whatever became
of the ones before it. So whole frames can follow a bad one. If one of them was written when it was
known to be synced beyond the bad place, synced data is damaged; if none was, all from the bad place
on is a tail that was never reported as synced.
"""

from __future__ import annotations

import dataclasses
import struct
import zlib
from collections.abc import Iterable

MAGIC = b"MEDLARJ2"
"""First bytes of a journal file; they name the version of the format."""

SALT_BYTES = 8
"""Random bytes that tell a file's frames from those of any other file."""

MARKER = b"\xd7MJR"
"""First bytes of a frame."""

_HEADER = struct.Struct(f">8s{SALT_BYTES}s?Q")
_CHECKSUM = struct.Struct(">I")
_FRAME = struct.Struct(">4sIQII")

HEADER_BYTES = _HEADER.size + _CHECKSUM.size
"""Size of the header of a file."""


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Describe a journal file.

    Attributes:
        salt: Random bytes.
        has_snapshot: Whether the first record is a snapshot.
        synced_bytes: Up to where the file was synced before it got its name: no part of that
            can be a torn tail.
    """

    salt: bytes
    has_snapshot: bool
    synced_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """Hold what was read from a journal file.

    Attributes:
        header: The header, None if it is bad.
        records: The whole records up to the first bad frame.
        good_bytes: Where the last whole frame ends.
        checksum: The chained checksum of that frame.
        is_damaged: Whether more is wrong than a torn tail.
    """

    header: Header | None
    records: tuple[bytes, ...]
    good_bytes: int
    checksum: int
    is_damaged: bool


def encode_header(header: Header) -> bytes:
    """Return the first bytes of a file."""
    fields = _HEADER.pack(MAGIC, header.salt, header.has_snapshot, header.synced_bytes)
    return fields + _CHECKSUM.pack(zlib.crc32(fields))


def first_checksum(salt: bytes) -> int:
    """Return the checksum on which the first frame of a file builds."""
    return zlib.crc32(salt)


def encode_frames(
    records: Iterable[bytes], *, salt: bytes, checksum: int, synced_bytes: int
) -> tuple[bytes, int]:
    """Return the frames of some records, and the chained checksum of the last one.

    Args:
        records: What is written.
        salt: The file's salt.
        checksum: The chained checksum of the frame before.
        synced_bytes: Up to where the file is known to be synced.
    """
    parts: list[bytes] = []
    for record in records:
        checksum = zlib.crc32(record, checksum)
        own = _own_checksum(record, salt, synced_bytes)
        parts.append(_FRAME.pack(MARKER, len(record), synced_bytes, own, checksum))
        parts.append(record)
    return b"".join(parts), checksum


def decode(data: bytes) -> Contents:
    """Read a whole file."""
    header = _decode_header(data)
    if header is None:
        return Contents(None, (), 0, 0, is_damaged=True)
    records: list[bytes] = []
    offset = HEADER_BYTES
    checksum = first_checksum(header.salt)
    while True:
        record = _record_at(data, offset, header.salt)
        if record is None or _chained_at(data, offset) != zlib.crc32(record, checksum):
            break
        records.append(record)
        checksum = zlib.crc32(record, checksum)
        offset += _FRAME.size + len(record)
    is_damaged = offset < header.synced_bytes or _is_synced_beyond(data, offset, header.salt)
    return Contents(header, tuple(records), offset, checksum, is_damaged)


def _decode_header(data: bytes) -> Header | None:
    if len(data) < HEADER_BYTES:
        return None
    _, salt, has_snapshot, synced_bytes = _HEADER.unpack_from(data)
    header = Header(salt, has_snapshot, synced_bytes)
    return header if encode_header(header) == data[:HEADER_BYTES] else None


def _own_checksum(record: bytes, salt: bytes, synced_bytes: int) -> int:
    head = len(record).to_bytes(4, "big") + synced_bytes.to_bytes(8, "big") + salt
    return zlib.crc32(record, zlib.crc32(head))


def _chained_at(data: bytes, offset: int) -> int:
    return _FRAME.unpack_from(data, offset)[4]


def _record_at(data: bytes, offset: int, salt: bytes) -> bytes | None:
    """Return the record of the frame at an offset, None if there is no whole frame."""
    body = offset + _FRAME.size
    if body > len(data):
        return None
    marker, length, synced_bytes, own_checksum, _ = _FRAME.unpack_from(data, offset)
    if marker != MARKER or body + length > len(data):
        return None
    record = data[body : body + length]
    return record if _own_checksum(record, salt, synced_bytes) == own_checksum else None


def _is_synced_beyond(data: bytes, bad: int, salt: bytes) -> bool:
    """Say whether a whole frame after a bad place was written when that place was synced."""
    offset = data.find(MARKER, bad)
    while offset >= 0:
        if _record_at(data, offset, salt) is not None:
            synced_bytes = _FRAME.unpack_from(data, offset)[2]
            if synced_bytes > bad:
                return True
        offset = data.find(MARKER, offset + 1)
    return False
