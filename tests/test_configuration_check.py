"""Each kind of mistake in a configuration is reported with its key and remedy."""

import dataclasses

import pytest

from medlarfork.declared import configuration as configurations
from medlarfork.declared import configuration_check

Kind = configuration_check.FindingKind
MODEL = configurations.ServiceKind.MODEL
PLAIN = configurations.ServiceKind.PLAIN
DIGEST = "0" * 64


def account(name, labels=None, **others):
    return configurations.Account(name, labels=labels or {}, **others)


def request_class(name, selector="", **others):
    return configurations.RequestClass(name, others.pop("tier", 1), selector, **others)


def call(path, repeatable=False, labels=None, service="desk", method="POST"):
    return configurations.Call(service, method, path, repeatable, labels or {})


def route(name, selector, service, precedence=0):
    return configurations.Route(name, selector, service, precedence)


def model_service(name, models=(), selector="service=lm", **others):
    return configurations.Service(name, MODEL, selector, models, **others)


VALID = configurations.Configuration(
    accounts=(account("small", {"size": "s"}), account("large", {"size": "l", "vip": "yes"})),
    classes=(
        request_class("chat", "model=m, task=chat", floor_share=0.3),
        request_class("hold", "action=hold", repeatable=False),
        request_class("desk", "service=desk, !action"),
    ),
    services=(
        model_service("lm", ("m",), "service=lm, pool=a"),
        model_service("lm-b", ("m", "n"), "service=lm, pool!=a"),
        configurations.Service("desk", PLAIN, "service=desk"),
    ),
    routes=(route("large", "model=m, size=l", "lm-b"),),
    calls=(call("/holds", labels={"action": "hold"}),),
    label_keys=(
        configurations.LabelKey("task", ("chat", "review")),
        configurations.LabelKey("pool", ("a", "b")),
        configurations.LabelKey("free"),
    ),
)


def added(**fields):
    extended = {name: getattr(VALID, name) + tuple(extra) for name, extra in fields.items()}
    return dataclasses.replace(VALID, **extended)


def test_a_valid_configuration_has_no_findings():
    assert configuration_check.check(VALID) == ()
    assert configuration_check.check(configurations.Configuration()) == ()


CASES = {
    "duplicate account": (
        added(accounts=[account("small")]), Kind.DUPLICATE, "account.small.name", "Rename"),
    "duplicate class": (
        added(classes=[request_class("chat", "model=n")]), Kind.DUPLICATE, "class.chat.name",
        "Rename"),
    "duplicate service": (
        added(services=[model_service("lm", ("z",))]), Kind.DUPLICATE, "service.lm.name", "Rename"),
    "duplicate route": (
        added(routes=[route("large", "model=n", "lm")]), Kind.DUPLICATE, "route.large.name",
        "Rename"),
    "duplicate call": (added(calls=[call("/holds")]), Kind.DUPLICATE, "call[1].path", "Rename"),
    "duplicate label": (
        added(label_keys=[configurations.LabelKey("task")]), Kind.DUPLICATE, "label.task.key",
        "Rename"),
    "shared key": (
        added(accounts=[account("x", key_sha256=(DIGEST,)), account("y", key_sha256=(DIGEST,))]),
        Kind.DUPLICATE, "account.y.key_sha256", "keys of its own"),
    "key in clear": (
        added(accounts=[account("x", key_sha256=("secret",))]), Kind.BAD_DIGEST,
        "account.x.key_sha256", "medlarctl hash-key"),
    "name with a space": (
        added(accounts=[account("a b")]), Kind.BAD_NAME, "account.a b.name", "Use letters"),
    "name with a slash": (
        added(services=[configurations.Service("a/b", PLAIN, "service=a")]), Kind.BAD_NAME,
        "service.a/b.name", "Use letters"),
    "model name": (
        added(services=[model_service("x", ("a b",))]), Kind.BAD_NAME, "service.x.models",
        "Use letters"),
    "label value": (
        added(accounts=[account("x", {"size": "a b"})]), Kind.BAD_NAME, "account.x.labels",
        "Write keys"),
    "call method": (
        added(calls=[call("/x", method="post")]), Kind.BAD_NAME, "call[1].method", "upper case"),
    "call path": (added(calls=[call("x")]), Kind.BAD_NAME, "call[1].path", "beginning with /"),
    "syntax": (
        added(classes=[request_class("x", "a = = b")]), Kind.SELECTOR_SYNTAX, "class.x.selector",
        "Write keys"),
    "service syntax": (
        added(services=[model_service("x", ("q",), "in (")]), Kind.SELECTOR_SYNTAX,
        "service.x.selector", "Write keys"),
    "unknown key": (
        added(classes=[request_class("x", "taks=chat")]), Kind.UNKNOWN_LABEL, "class.x.selector",
        "declare taks as a [[label]]"),
    "unknown account": (
        added(classes=[request_class("x", "account=none")]), Kind.UNKNOWN_VALUE,
        "class.x.selector", "large, small"),
    "unknown service": (
        added(classes=[request_class("x", "service!=none")]), Kind.UNKNOWN_VALUE,
        "class.x.selector", "desk, lm, lm-b"),
    "unknown model": (
        added(routes=[route("x", "model in (m, none)", "lm", 1)]), Kind.UNKNOWN_VALUE,
        "route.x.selector", "m, n"),
    "unknown value": (
        added(classes=[request_class("x", "task=chart")]), Kind.UNKNOWN_VALUE,
        "class.x.selector", "chat, review"),
    "unknown upstream key": (
        added(services=[model_service("x", ("q",), "pol=a")]), Kind.UNKNOWN_LABEL,
        "service.x.selector", "declare pol as a [[label]]"),
    "unknown upstream value": (
        added(services=[model_service("x", ("q",), "pool=c")]), Kind.UNKNOWN_VALUE,
        "service.x.selector", "a, b"),
    "contradiction": (
        added(classes=[request_class("x", "free, !free")]), Kind.MATCHES_NOTHING,
        "class.x.selector", "Remove one of the terms"),
    "every value ruled out": (
        added(classes=[request_class("x", "task, task!=chat, task!=review")]),
        Kind.MATCHES_NOTHING, "class.x.selector", "Remove one of the terms"),
    "upstream contradiction": (
        added(services=[model_service("x", ("q",), "pool=a, pool=b")]), Kind.MATCHES_NOTHING,
        "service.x.selector", "Remove one of the terms"),
    "no account": (
        added(classes=[request_class("x", "size=s, vip=yes")]), Kind.UNREACHABLE,
        "class.x.selector", "Give an account the labels"),
    "no target": (
        added(classes=[request_class("x", "service=desk, model=m")]), Kind.UNREACHABLE,
        "class.x.selector", "Declare a model, service or call"),
    "route of the other kind": (
        added(routes=[route("x", "service=desk", "lm")]), Kind.UNREACHABLE, "route.x.selector",
        "Declare a model, service or call"),
    "unreachable service": (
        added(services=[model_service("x")]), Kind.UNREACHABLE, "service.x.models",
        "declare a route to it"),
    "two classes": (
        added(classes=[request_class("x", "model=m, task=chat, size=s")]), Kind.SAME_PRECEDENCE,
        "class.x.selector", "different precedence"),
    "two routes": (
        added(routes=[route("x", "vip=yes", "lm")]), Kind.SAME_PRECEDENCE, "route.x.selector",
        "different precedence"),
    "route to unknown service": (
        added(routes=[route("x", "model=n", "gone")]), Kind.MISSING_SERVICE, "route.x.service",
        "desk, lm, lm-b"),
    "call of unknown service": (
        added(calls=[call("/x", service="gone")]), Kind.MISSING_SERVICE, "call[1].service",
        "Name a declared service"),
    "call of a model": (
        added(calls=[call("/x", service="lm")]), Kind.WRONG_KIND, "call[1].service",
        "Name a plain service"),
    "tier 0": (
        added(classes=[request_class("x", "model=n", tier=0)]), Kind.OUT_OF_RANGE, "class.x.tier",
        "from 1 to 8"),
    "tier 9": (
        added(classes=[request_class("x", "model=n", tier=9)]), Kind.OUT_OF_RANGE, "class.x.tier",
        "from 1 to 8"),
    "target": (
        added(classes=[request_class("x", "model=n", whole_target_s=9.0, deadline_s=8.0)]),
        Kind.TARGET, "class.x.whole_target_s", "raise deadline_s"),
    "first target": (
        added(classes=[request_class("x", "model=n", first_token_target_s=9.0, deadline_s=8.0)]),
        Kind.TARGET, "class.x.first_token_target_s", "raise deadline_s"),
    "first after whole": (
        added(classes=[
            request_class("x", "model=n", first_token_target_s=2.0, whole_target_s=1.0)]),
        Kind.TARGET, "class.x.first_token_target_s", "raise whole_target_s"),
    "floor shares": (
        added(classes=[request_class("x", "model=n", tier=2, floor_share=0.7)]),
        Kind.FLOOR_SHARES, "class.floor_share", "less than 1"),
    "weight": (
        added(accounts=[account("x", weight=0.0)]), Kind.OUT_OF_RANGE, "account.x.weight",
        "above 0"),
    "weight that is no number": (
        added(accounts=[account("x", weight=float("nan"))]), Kind.OUT_OF_RANGE,
        "account.x.weight", "above 0"),
    "limit": (
        added(accounts=[account("x", limits=configurations.AccountLimits(concurrent=0))]),
        Kind.OUT_OF_RANGE, "account.x.limits.concurrent", "at least 1"),
    "slots": (
        added(services=[model_service("x", ("q",), slots=0)]), Kind.OUT_OF_RANGE,
        "service.x.slots", "at least 1"),
    "lease": (
        dataclasses.replace(VALID, engine_lease_s=0.0), Kind.OUT_OF_RANGE,
        "deployment.engine_lease_s", "from 0.5 to 60"),
    "preemptible": (
        added(classes=[request_class("x", "model=n", preemptible=True, repeatable=False)]),
        Kind.PREEMPTIBLE, "class.x.preemptible", "preemptible = false"),
    "shared model": (
        added(services=[model_service("x", ("n",))]), Kind.SHARED_MODEL, "service.x.models",
        "Declare a route"),
    "plain with models": (
        added(services=[configurations.Service("x", PLAIN, "service=x", ("q",))]),
        Kind.PLAIN_WITH_MODELS, "service.x.models", "Remove models"),
    "reserved account label": (
        added(accounts=[account("x", {"model": "m"})]), Kind.RESERVED_LABEL, "account.x.labels",
        "other than account"),
    "reserved declared label": (
        added(label_keys=[configurations.LabelKey("service")]), Kind.RESERVED_LABEL,
        "label.service.key", "other than account"),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_a_mistake_is_found_with_key_and_remedy(case):
    configuration, kind, key, remedy = CASES[case]
    found = configuration_check.check(configuration)
    same = [item for item in found if (item.kind, item.key) == (kind, key)]
    assert len(same) == 1, [item.render() for item in found]
    assert remedy in same[0].remedy
    assert same[0].remedy.endswith(".")
    assert not same[0].problem.endswith(".")
    assert len(found) == 1, [item.render() for item in found]


def test_every_kind_of_finding_has_a_case():
    assert {kind for _, kind, _, _ in CASES.values()} == set(Kind)


@pytest.mark.parametrize(
    "extra",
    [
        # Different precedence; a call's label together with a model; an unknown method.
        request_class("x", "model=m, task=chat", precedence=1),
        request_class("x", "action=hold, model"),
        request_class("x", "service=desk, !action, method=NONE"),
    ],
)
def test_classes_conflict_only_at_equal_precedence_on_common_requests(extra):
    found = configuration_check.check(added(classes=[extra]))
    assert Kind.SAME_PRECEDENCE not in {item.kind for item in found}


def test_classes_of_accounts_with_different_labels_do_not_conflict():
    classes = (request_class("a", "size=s"), request_class("b", "vip=yes"))
    assert configuration_check.check(dataclasses.replace(VALID, classes=classes)) == ()


def test_classes_of_calls_with_different_labels_do_not_conflict():
    # Every request that carries action=hold is a POST, so no request matches both.
    classes = (request_class("a", "action=hold"), request_class("b", "service=desk, method=GET"))
    assert configuration_check.check(dataclasses.replace(VALID, classes=classes)) == ()


def test_routes_conflict_only_on_requests_of_their_service_kind():
    # Only requests without a model match both, and those never go to a model service.
    routes = (route("a", "model!=m", "lm-b"), route("b", "model!=n", "lm"))
    services = (model_service("lm", ("m",)), model_service("lm-b", ("n",)), VALID.services[2])
    changed = dataclasses.replace(VALID, routes=routes, services=services)
    assert configuration_check.check(changed) == ()


def test_the_largest_share_of_a_tier_counts_once():
    classes = tuple(
        request_class(f"c{number}", "model=m", precedence=number, floor_share=0.3)
        for number in range(5)
    )
    assert configuration_check.check(dataclasses.replace(VALID, classes=classes)) == ()
