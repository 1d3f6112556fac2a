"""Labels, and selectors that match sets of labels."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Mapping

from medlarfork import errors

_KEY = re.compile(r"[a-z][a-z0-9_.\-]*")
_VALUE = re.compile(r"[A-Za-z0-9_.\-/:*]+")
_IN = re.compile(r"^(?P<key>\S+)\s+(?P<negated>not\s+)?in\s+\((?P<values>[^()]*)\)$")
_COMMA_OUTSIDE_PARENTHESES = re.compile(r",(?![^(]*\))")


@dataclasses.dataclass(frozen=True, slots=True)
class OneOf:
    """Requirement that a label is present and has one of the values."""

    key: str
    values: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class NoneOf:
    """Requirement that a label is absent or has none of the values."""

    key: str
    values: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Present:
    """Requirement that a label is present, with any value."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Requirement that a label is absent."""

    key: str


Requirement = OneOf | NoneOf | Present | Absent


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of requirements on labels; an empty selector matches every set of labels."""

    text: str
    requirements: tuple[Requirement, ...]

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse ``a=b, c!=d, e in (f, g), h not in (i), j, !k``.

        Raises:
            errors.SelectorSyntaxError: A term does not follow that grammar.
        """
        terms = [term.strip() for term in _COMMA_OUTSIDE_PARENTHESES.split(text)]
        return cls(text, tuple(_requirement(term) for term in terms if term))

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet every requirement."""
        # A plain loop is faster than ``all``: this runs for every request and each class's selector
        # until one matches.
        for requirement in self.requirements:  # noqa: SIM110
            if not _meets(requirement, labels):
                return False
        return True

    def overlaps(self, other: Selector) -> bool:
        """Return whether some set of labels could match both selectors."""
        return not any(
            _disjoint(mine, theirs) or _disjoint(theirs, mine)
            for mine in self.requirements
            for theirs in other.requirements
            if mine.key == theirs.key
        )


def check_label(key: str, value: str) -> None:
    """Validate the key and value of a label.

    Raises:
        errors.SelectorSyntaxError: The key or the value contains a character that is not allowed.
    """
    _checked(_KEY, key, "label key")
    _checked(_VALUE, value, "label value")


def _checked(pattern: re.Pattern[str], text: str, what: str) -> str:
    if pattern.fullmatch(text):
        return text
    raise errors.SelectorSyntaxError(
        f"{text!r} is not a {what}.",
        remedy="Write keys as lower-case words and values without spaces, quotes or commas.",
    )


def _requirement(term: str) -> Requirement:
    membership = _IN.match(term)
    if membership:
        return _membership(membership)
    if "!=" in term:
        key, value = (part.strip() for part in term.split("!=", 1))
        return NoneOf(_checked(_KEY, key, "label key"), frozenset({_checked_value(value)}))
    if "=" in term:
        key, value = (part.strip() for part in term.split("=", 1))
        return OneOf(_checked(_KEY, key, "label key"), frozenset({_checked_value(value)}))
    if term.startswith("!"):
        return Absent(_checked(_KEY, term[1:].strip(), "label key"))
    return Present(_checked(_KEY, term, "label key"))


def _membership(match: re.Match[str]) -> Requirement:
    key = _checked(_KEY, match["key"], "label key")
    values = frozenset(_checked_value(value.strip()) for value in match["values"].split(","))
    return NoneOf(key, values) if match["negated"] else OneOf(key, values)


def _checked_value(value: str) -> str:
    return _checked(_VALUE, value, "label value")


def _meets(requirement: Requirement, labels: Mapping[str, str]) -> bool:
    # Patterns without captures are faster; every request runs this for many requirements.
    match requirement:
        case OneOf():
            return labels.get(requirement.key) in requirement.values
        case NoneOf():
            return labels.get(requirement.key) not in requirement.values
        case Present():
            return requirement.key in labels
        case Absent():
            return requirement.key not in labels


def _disjoint(first: Requirement, second: Requirement) -> bool:
    match first, second:
        case OneOf(_, ours), OneOf(_, theirs):
            return ours.isdisjoint(theirs)
        case OneOf(_, ours), NoneOf(_, theirs):
            return ours <= theirs
        case (OneOf() | Present()), Absent():
            return True
        case _:
            return False
