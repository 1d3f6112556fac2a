"""Encode messages for links and journals as a kind name and a MessagePack body.

Only registered classes can be decoded, and every field is validated against its type.
"""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable
from typing import Any

import msgspec

from medlarfork import errors

_LARGE_FLOAT = re.compile(rb"\xcb[\x43-\x7f\xc3-\xff]")
"""Marker of MessagePack and first byte of a float of 64 bits that may be out of bounds."""

_LONG_BODY_BYTES = 65_536
"""A shorter body has no text, list or map that is out of bounds."""


class Codec:
    """Encode and decode the instances of a fixed set of frozen data classes."""

    def __init__(self, kinds: Iterable[type]) -> None:
        """Register the classes; the class names are the kind names and must be unique."""
        self._kind_by_name = {kind.__name__: kind for kind in kinds}
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any) -> tuple[bytes, bytes]:
        """Return the message's kind name and body."""
        return type(message).__name__.encode(), self._encoder.encode(message)

    def decode(self, name: bytes, body: bytes) -> Any:
        """Return the message of a link.

        Raises:
            errors.LinkError: The kind is not registered, the body does not fit it, or a value is
                out of bounds.
        """
        message = self._decode(name, body)
        if _may_be_out_of_bounds(body):
            # Imported only where it is needed: it makes the start-up slower.
            from medlarfork import bounds

            try:
                bounds.require(message, max_integer=bounds.MAX_UNSIGNED)
            except bounds.OutOfBoundsError as error:
                raise _undecodable(name, error) from error
        return message

    def _decode(self, name: bytes, body: bytes) -> Any:
        try:
            return self._decoder(name.decode()).decode(body)
        except (KeyError, UnicodeDecodeError, RecursionError, msgspec.MsgspecError) as error:
            raise _undecodable(name, error) from error

    def pack(self, message: Any) -> bytes:
        """Return kind name and body as one byte string, for journals."""
        return self._encoder.encode(self.encode(message))

    def unpack(self, data: bytes) -> Any:
        """Return the message that ``pack`` encoded; what was written has no bounds any more.

        Raises:
            errors.LinkError: The kind is not registered or the body does not fit it.
        """
        try:
            name, body = msgspec.msgpack.decode(data, type=tuple[bytes, bytes])
        except (UnicodeDecodeError, RecursionError, msgspec.MsgspecError) as error:
            raise errors.LinkError(
                f"A packed message could not be decoded: {error}.",
                remedy="Read it with the version of medlarfork that wrote it.",
            ) from error
        return self._decode(name, body)

    @functools.cache  # noqa: B019 - codecs live as long as the process
    def _decoder(self, name: str) -> msgspec.msgpack.Decoder:
        return msgspec.msgpack.Decoder(self._kind_by_name[name])


def _may_be_out_of_bounds(body: bytes) -> bool:
    """Say whether a body has a marker of MessagePack that each value out of bounds has.

    Other bodies may have these bytes by chance. Looking at each value of every message would take
    longer than decoding it.
    """
    return (
        len(body) > _LONG_BODY_BYTES
        or b"\xca" in body  # float of 32 bits
        or _LARGE_FLOAT.search(body) is not None
    )


def _undecodable(name: bytes, error: Exception) -> errors.LinkError:
    return errors.LinkError(
        f"A message of kind {name[:40]!r} could not be decoded: {error}.",
        remedy="Run the same version of medlarfork on both ends of the link.",
    )
