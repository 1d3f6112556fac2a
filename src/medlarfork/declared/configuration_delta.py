"""Create and apply configuration deltas, which hold the objects that differ between revisions."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections.abc import Callable
from typing import Any

import msgspec

from medlarfork import errors, heartbeat
from medlarfork.declared import configuration

_SETTING = "setting"
_ORDER = "order"


@dataclasses.dataclass(frozen=True, slots=True)
class _Collection:
    """One field of the configuration that holds a tuple of named objects."""

    field: str
    kind: str
    object_type: type
    name_of: Callable[[Any], str]

    def by_key(self, source: configuration.Configuration) -> dict[str, Any]:
        """Return the field's objects, keyed as ``KIND/NAME``."""
        return {self.key_of(item): item for item in getattr(source, self.field)}

    def key_of(self, item: Any) -> str:
        """Return the object's key."""
        return f"{self.kind}/{self.name_of(item)}"


def _name(item: Any) -> str:
    return item.name


def _call_name(call: configuration.Call) -> str:
    return f"{call.service} {call.method} {call.path}"


_COLLECTIONS = (
    _Collection("accounts", "account", configuration.Account, _name),
    _Collection("classes", "class", configuration.RequestClass, _name),
    _Collection("services", "service", configuration.Service, _name),
    _Collection("routes", "route", configuration.Route, _name),
    _Collection("calls", "call", configuration.Call, _call_name),
    _Collection("label_keys", "label_key", configuration.LabelKey, lambda item: item.key),
)
_COLLECTION_FIELDS = frozenset(collection.field for collection in _COLLECTIONS)
_SETTING_FIELDS = tuple(
    field.name
    for field in dataclasses.fields(configuration.Configuration)
    if field.name not in _COLLECTION_FIELDS
)


def make(
    base: heartbeat.RevisionedConfiguration, target: heartbeat.RevisionedConfiguration
) -> heartbeat.ConfigurationDelta | None:
    """Return the delta from ``base`` to ``target``.

    None if several objects of one kind share a name. A delta identifies objects by name, so the
    complete configuration must be sent instead.
    """
    changed = _changed_settings(base.configuration, target.configuration)
    removed: list[str] = []
    for collection in _COLLECTIONS:
        old = collection.by_key(base.configuration)
        new = collection.by_key(target.configuration)
        if len(new) != len(getattr(target.configuration, collection.field)):
            return None
        if len(old) != len(getattr(base.configuration, collection.field)):
            return None
        changed |= {key: _encode(item) for key, item in new.items() if old.get(key) != item}
        removed.extend(key for key in old if key not in new)
        if list(new) != _default_order(old, new):
            changed[f"{_ORDER}/{collection.field}"] = _encode(list(new))
    return heartbeat.ConfigurationDelta(base.revision, target.revision, changed, tuple(removed))


def apply(
    base: heartbeat.RevisionedConfiguration, delta: heartbeat.ConfigurationDelta
) -> heartbeat.RevisionedConfiguration:
    """Return the configuration that results from applying the delta to ``base``.

    Raises:
        errors.ConfigurationError: The delta is for another base revision, or can't be decoded.
    """
    if base.revision != delta.base_revision:
        raise errors.ConfigurationError(
            f"A delta from revision {delta.base_revision} does not fit revision {base.revision}.",
            remedy="Request the complete configuration from control.",
        )
    try:
        values = _settings_after(base.configuration, delta)
        for collection in _COLLECTIONS:
            values[collection.field] = _objects_after(collection, base.configuration, delta)
    except (KeyError, msgspec.MsgspecError) as error:
        raise errors.ConfigurationError(
            f"The delta to revision {delta.revision} can't be decoded: {error}.",
            remedy="Run the same version of medlarfork on control and entry hosts.",
        ) from error
    return heartbeat.RevisionedConfiguration(delta.revision, configuration.Configuration(**values))


def _changed_settings(
    old: configuration.Configuration, new: configuration.Configuration
) -> dict[str, bytes]:
    return {
        f"{_SETTING}/{field}": _encode(getattr(new, field))
        for field in _SETTING_FIELDS
        if getattr(old, field) != getattr(new, field)
    }


def _settings_after(
    base: configuration.Configuration, delta: heartbeat.ConfigurationDelta
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for field in _SETTING_FIELDS:
        encoded = delta.changed.get(f"{_SETTING}/{field}")
        values[field] = getattr(base, field)
        if encoded is not None:
            values[field] = msgspec.json.decode(encoded, type=_type_by_setting()[field])
    return values


def _objects_after(
    collection: _Collection,
    base: configuration.Configuration,
    delta: heartbeat.ConfigurationDelta,
) -> tuple[Any, ...]:
    by_key = collection.by_key(base)
    for key in delta.removed:
        by_key.pop(key, None)
    for key, encoded in delta.changed.items():
        if key.startswith(f"{collection.kind}/"):
            by_key[key] = msgspec.json.decode(encoded, type=collection.object_type)
    order = delta.changed.get(f"{_ORDER}/{collection.field}")
    if order is None:
        return tuple(by_key.values())
    return tuple(by_key[key] for key in msgspec.json.decode(order, type=list[str]))


def _default_order(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Return the order in which ``apply`` puts the objects unless the delta specifies one."""
    kept = [key for key in old if key in new]
    return kept + [key for key in new if key not in old]


@functools.cache
def _type_by_setting() -> dict[str, Any]:
    hints = typing.get_type_hints(configuration.Configuration)
    return {field: hints[field] for field in _SETTING_FIELDS}


def _encode(item: Any) -> bytes:
    return msgspec.json.encode(item)
