"""Applying a delta yields exactly the configuration that it was created for."""

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import errors, heartbeat
from medlarfork.declared import configuration, configuration_delta

_NAMES = strategies.sampled_from(("a", "b", "c", "d"))


def _unique(items, key):
    return strategies.lists(items, max_size=4, unique_by=key).map(tuple)


@strategies.composite
def _configurations(draw):
    accounts = strategies.builds(
        configuration.Account, name=_NAMES, weight=strategies.sampled_from((1.0, 2.0))
    )
    services = strategies.builds(
        configuration.Service,
        name=_NAMES,
        kind=strategies.sampled_from(configuration.ServiceKind),
        selector=strategies.just(""),
        models=strategies.lists(_NAMES, max_size=2).map(tuple),
    )
    calls = strategies.builds(
        configuration.Call,
        service=_NAMES,
        method=strategies.sampled_from(("GET", "POST")),
        path=strategies.sampled_from(("/x", "/y z")),
        repeatable=strategies.booleans(),
    )
    keys = strategies.builds(configuration.LabelKey, key=_NAMES)
    return configuration.Configuration(
        name=draw(_NAMES),
        accounts=draw(_unique(accounts, lambda item: item.name)),
        services=draw(_unique(services, lambda item: item.name)),
        calls=draw(_unique(calls, lambda item: (item.service, item.method, item.path))),
        label_keys=draw(_unique(keys, lambda item: item.key)),
        engine_lease_s=draw(strategies.sampled_from((3.0, 5.0))),
        allow_undated_keys=draw(strategies.booleans()),
        drained_entries=draw(strategies.lists(_NAMES, max_size=2).map(tuple)),
    )


def _revisioned(revision, source):
    return heartbeat.RevisionedConfiguration(revision, source)


@hypothesis.given(_configurations(), _configurations())
@hypothesis.settings(max_examples=60)
def test_applying_a_delta_yields_its_target(old, new):
    base, target = _revisioned(3, old), _revisioned(5, new)
    assert configuration_delta.apply(base, configuration_delta.make(base, target)) == target


def test_a_delta_holds_only_what_differs():
    accounts = tuple(configuration.Account(f"account-{i}") for i in range(100))
    changed = configuration.Account("account-7", weight=2.0)
    base = configuration.Configuration(accounts=accounts)
    target = configuration.Configuration(accounts=(*accounts[:7], changed, *accounts[8:99]))
    delta = configuration_delta.make(_revisioned(1, base), _revisioned(2, target))
    assert list(delta.changed) == ["account/account-7"]
    assert delta.removed == ("account/account-99",)


def test_a_delta_for_another_base_revision_is_rejected():
    base, target = (_revisioned(i, configuration.Configuration()) for i in (1, 2))
    delta = configuration_delta.make(base, target)
    with pytest.raises(errors.ConfigurationError, match="does not fit revision 2"):
        configuration_delta.apply(target, delta)


def test_duplicate_names_allow_no_delta():
    twice = configuration.Configuration(accounts=(configuration.Account("a"),) * 2)
    base, target = _revisioned(1, configuration.Configuration()), _revisioned(2, twice)
    assert configuration_delta.make(base, target) is None
    assert configuration_delta.make(target, base) is None


def test_an_undecodable_delta_is_rejected():
    base = _revisioned(1, configuration.Configuration())
    delta = heartbeat.ConfigurationDelta(1, 2, {"account/a": b"{"}, ())
    with pytest.raises(errors.ConfigurationError, match="can't be decoded"):
        configuration_delta.apply(base, delta)
