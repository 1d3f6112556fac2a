"""Bounds on what other processes send, checked where it is decoded.

A message that is out of bounds is refused as a whole, so that nothing behind a decoder meets a
number that MessagePack can't encode, one that isn't finite, or text of any length.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import operator
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

MAX_INTEGER = 2**63 - 1
"""Maximum magnitude of an integer: a signed one of 64 bits, which every encoding can hold."""

MAX_UNSIGNED = 2**64 - 1
"""Maximum of an integer on links, where digests take all bits of an unsigned one of 64 bits."""

MAX_NUMBER = 1e18
"""Maximum magnitude of a number with a fraction, so that sums and products of some stay finite."""

MAX_TEXT_LENGTH = 65_536
"""Maximum length of any text; what is shown or kept by name has narrower bounds of its own."""

MAX_ITEMS = 100_000
"""Maximum number of items in one list or map."""


class OutOfBoundsError(msgspec.ValidationError):
    """What was sent is out of bounds."""


def decode_json(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    """Return the value of a JSON body.

    Raises:
        msgspec.MsgspecError: It can't be decoded, doesn't fit its type, or is out of bounds.
    """
    try:
        value = decoder.decode(body)
    except RecursionError as error:
        raise OutOfBoundsError("it is nested too deeply") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError("it is not in UTF-8") from error
    require(value)
    return value


def require(value: Any, *, max_integer: int = MAX_INTEGER) -> None:
    """Require that every number, text and list of a decoded value is within its bounds.

    Raises:
        OutOfBoundsError: One is not.
    """
    _require_each((value,), max_integer)


def _require_each(values: Iterable[Any], max_integer: int) -> None:
    # Compares types, which costs a fraction of matching patterns.
    for value in values:
        kind = type(value)
        if kind is str:
            if len(value) > MAX_TEXT_LENGTH:
                raise OutOfBoundsError("a text is too long")
        elif kind is int:
            if not -max_integer <= value <= max_integer:
                raise OutOfBoundsError("an integer does not fit into 64 bits")
        elif kind is float:
            # Also false if it is not a number.
            if not -MAX_NUMBER <= value <= MAX_NUMBER:
                raise OutOfBoundsError("a number is too large or not finite")
        elif kind is not bool and kind is not bytes and value is not None:
            _require_each(_parts_of(value), max_integer)


def _parts_of(value: Any) -> Iterable[Any]:
    """Return the items of a list or map, or the fields of a message."""
    match value:
        case dict():
            parts: Iterable[Any] = (*value, *value.values())
        case tuple() | list() | set() | frozenset():
            parts = value
        case enum.Enum():
            return ()
        case _:
            return _read_fields(type(value))(value)
    if len(value) > MAX_ITEMS:
        raise OutOfBoundsError("a list or map is too long")
    return parts


@functools.cache
def _read_fields(kind: type) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that reads the fields of a data class or a struct."""
    if dataclasses.is_dataclass(kind):
        names = tuple(field.name for field in dataclasses.fields(kind))
    else:
        names = getattr(kind, "__struct_fields__", ())
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: tuple(getattr(value, name) for name in names)
