"""The format of a journal file: a header, then one frame per record.

A frame consists of a marker, the record's length, the offset up to which the file was known to be
synced when the frame was written, two checksums and the record. One checksum covers the frame
alone, so that a valid frame is recognised at any offset; the other also covers the chained checksum
of the previous frame, so that lost, repeated and reordered frames are detected.

After a power loss, each write since the last sync may be present, missing or torn, independently of
the writes before it. So valid frames can follow a bad one. If one of them was written when the file
was known to be synced beyond the bad frame's offset, synced data is damaged; if none was,
everything from that offset on is a tail that was never reported as synced.
"""

from __future__ import annotations

import dataclasses
import struct
import zlib
from collections.abc import Iterable

MAGIC = b"MEDLARJ2"
"""First bytes of a journal file, including the version of the format."""

SALT_BYTES = 8
"""Number of random bytes that distinguish a file's frames from those of any other file."""

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
        synced_bytes: Offset up to which the file was synced before it was renamed into place; no
            part before it can be a torn tail.
    """

    salt: bytes
    has_snapshot: bool
    synced_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """The decoded contents of a journal file.

    Attributes:
        header: The header, None if it is invalid.
        records: The records before the first bad frame.
        good_bytes: Offset at which the last valid frame ends.
        checksum: The chained checksum of that frame.
        is_damaged: Whether the file is damaged other than by a torn tail.
    """

    header: Header | None
    records: tuple[bytes, ...]
    good_bytes: int
    checksum: int
    is_damaged: bool


def encode_header(header: Header) -> bytes:
    """Return the encoded header of a file."""
    fields = _HEADER.pack(MAGIC, header.salt, header.has_snapshot, header.synced_bytes)
    return fields + _CHECKSUM.pack(zlib.crc32(fields))


def first_checksum(salt: bytes) -> int:
    """Return the initial value of the checksum chain of a file."""
    return zlib.crc32(salt)


def encode_frames(
    records: Iterable[bytes], *, salt: bytes, checksum: int, synced_bytes: int
) -> tuple[bytes, int]:
    """Return the encoded frames of records, and the chained checksum of the last one.

    Args:
        records: The records to encode.
        salt: The file's salt.
        checksum: The chained checksum of the previous frame.
        synced_bytes: Offset up to which the file is known to be synced.
    """
    parts: list[bytes] = []
    for record in records:
        checksum = zlib.crc32(record, checksum)
        own = _own_checksum(record, salt, synced_bytes)
        parts.append(_FRAME.pack(MARKER, len(record), synced_bytes, own, checksum))
        parts.append(record)
    return b"".join(parts), checksum


def decode(data: bytes) -> Contents:
    """Decode the contents of a journal file."""
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
    """Return the record of the frame at an offset, None if there is no valid frame."""
    body = offset + _FRAME.size
    if body > len(data):
        return None
    marker, length, synced_bytes, own_checksum, _ = _FRAME.unpack_from(data, offset)
    if marker != MARKER or body + length > len(data):
        return None
    record = data[body : body + length]
    return record if _own_checksum(record, salt, synced_bytes) == own_checksum else None


def _is_synced_beyond(data: bytes, bad: int, salt: bytes) -> bool:
    """Say whether a valid frame after a bad offset was written when that offset was synced."""
    offset = data.find(MARKER, bad)
    while offset >= 0:
        if _record_at(data, offset, salt) is not None:
            synced_bytes = _FRAME.unpack_from(data, offset)[2]
            if synced_bytes > bad:
                return True
        offset = data.find(MARKER, offset + 1)
    return False
