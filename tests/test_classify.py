"""The service and class of a request, compared with a table and with a naive scan."""

import dataclasses
import itertools

import hypothesis
import hypothesis.strategies as st
import pytest

from medlarfork import errors
from medlarfork.declared import configuration as configurations
from medlarfork.filters import classify, plain_call

MODEL = configurations.ServiceKind.MODEL
PLAIN = configurations.ServiceKind.PLAIN


@pytest.fixture
def configuration():
    return configurations.Configuration(
        accounts=(
            configurations.Account("shop", labels={"size": "small"}),
            configurations.Account("office", labels={"size": "large"}),
        ),
        classes=(
            configurations.RequestClass("chat", 1, "model=m", 0, deadline_s=30.0, preemptible=True),
            configurations.RequestClass("large", 2, "model=m, size=large", 5, preemptible=True),
            configurations.RequestClass("once", 1, "task=once", 9, repeatable=False),
            configurations.RequestClass("hold", 3, "action=hold", 1, preemptible=True),
        ),
        services=(
            configurations.Service("lm", MODEL, "pool=a", ("m",)),
            configurations.Service("lm-b", MODEL, "pool=b", ("m",)),
            configurations.Service("desk", PLAIN, "service=desk"),
        ),
        routes=(
            configurations.Route("everyone", "account", "desk", 9),
            configurations.Route("large", "size=large", "lm-b", 1),
        ),
        calls=(
            configurations.Call("desk", "POST", "/holds/*/confirm", False, {"action": "hold"}),
            configurations.Call("desk", "POST", "/search*", True),
            configurations.Call("desk", "GET", "/once", False),
        ),
        label_keys=(
            configurations.LabelKey("task", ("once", "often")),
            configurations.LabelKey("note"),
        ),
    )


def parsed(method="POST", path="", model="", labels=None, **others):
    service = "desk" if path else ""
    return classify.ParsedRequest(
        "id-1", method, path, service, model, caller_labels=labels or {}, **others
    )


@pytest.mark.parametrize(
    ("account", "asked", "service", "class_name", "tier", "repeatable", "preemptible"),
    [
        ("shop", parsed(model="m"), "lm", "chat", 1, True, True),
        ("office", parsed(model="m"), "lm-b", "large", 2, True, True),
        ("office", parsed(model="m", labels={"task": "once"}), "lm-b", "once", 1, False, False),
        ("office", parsed(model="m", labels={"task": "often"}), "lm-b", "large", 2, True, True),
        ("shop", parsed(path="/holds/7/confirm"), "desk", "hold", 3, False, False),
        ("shop", parsed(path="//holds/7/%63onfirm/"), "desk", "hold", 3, False, False),
        ("shop", parsed(path="/search/x/../../holds/7/confirm"), "desk", "hold", 3, False, False),
        ("shop", parsed(path="/search?"), "desk", "default", 8, True, False),
        ("shop", parsed(path="/other"), "desk", "default", 8, False, False),
        ("shop", parsed("PATCH", "/other"), "desk", "default", 8, False, False),
        ("shop", parsed("GET", "/once"), "desk", "default", 8, False, False),
        *(
            ("shop", parsed(method, "/other"), "desk", "default", 8, True, False)
            for method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
        ),
    ],
)
def test_a_request_is_assigned(
    configuration, account, asked, service, class_name, tier, repeatable, preemptible
):
    owner = configuration.account_by_name[account]
    assigned = classify.assign(configuration, owner, asked, now=100.0)
    assert (assigned.service, assigned.class_name, assigned.tier) == (service, class_name, tier)
    assert (assigned.repeatable, assigned.preemptible) == (repeatable, preemptible)
    declared = configuration.class_by_name[class_name]
    assert assigned.deadline_at == 100.0 + declared.deadline_s
    assert assigned.labels["service"] == service
    assert assigned.labels["account"] == account
    # Only a non-repeatable request needs a key; the request id is unique.
    assert assigned.key == ("" if repeatable else "id-1")


def test_a_key_that_the_caller_gave_is_kept(configuration):
    owner = configuration.accounts[0]
    once = classify.assign(configuration, owner, parsed(path="/x", key="k"), now=0.0)
    assert (once.key, once.key_given) == ("k", True)
    often = classify.assign(configuration, owner, parsed("GET", "/x", key="k"), now=0.0)
    assert (often.key, often.key_given) == ("", False)


def test_a_declared_default_class_replaces_the_built_in_one(configuration):
    own = configurations.RequestClass("default", 4, "note=none", -1)
    changed = dataclasses.replace(configuration, classes=(*configuration.classes, own))
    assigned = classify.assign(changed, changed.accounts[0], parsed("GET", "/x"), now=0.0)
    assert (assigned.class_name, assigned.tier) == ("default", 4)


@pytest.mark.parametrize(
    ("asked", "kind", "code", "pieces"),
    [
        (parsed(model="x"), errors.ModelNotFoundError, "model_not_found", "GET /v1/models"),
        (
            classify.ParsedRequest("i", "GET", "/", "gone"),
            errors.ServiceNotFoundError,
            "not_found",
            "/services/NAME",
        ),
        (
            classify.ParsedRequest("i", "GET", "/", "lm"),
            errors.ServiceNotFoundError,
            "not_found",
            "plain service",
        ),
        *(
            (parsed(model="m", labels=labels), errors.RequestLabelsError, "bad_request", pieces)
            for labels, pieces in [
                ({"size": "large"}, "Leave size out"),
                ({"account": "office"}, "Leave account out"),
                ({"account": "shop"}, "Leave account out"),
                ({"model": "m"}, "Leave model out"),
                ({"stream": "true"}, "Leave stream out"),
                ({"unheard": "x"}, "declare it"),
                ({"task": "never"}, "once, often"),
            ]
        ),
        (
            parsed(path="/holds/1/confirm", labels={"action": "search"}),
            errors.RequestLabelsError,
            "bad_request",
            "Leave action out",
        ),
    ],
)
def test_a_request_that_cannot_be_assigned_is_refused(configuration, asked, kind, code, pieces):
    with pytest.raises(kind) as caught:
        classify.assign(configuration, configuration.accounts[0], asked, now=0.0)
    assert caught.value.code == code
    assert pieces in str(caught.value)


def test_a_caller_may_send_the_labels_of_its_account(configuration):
    asked = parsed(model="m", labels={"size": "small", "note": "x"})
    assigned = classify.assign(configuration, configuration.accounts[0], asked, now=0.0)
    assert (assigned.labels["size"], assigned.labels["note"]) == ("small", "x")


def test_the_labels_header_is_parsed():
    assert classify.parse_labels(" a=b, c-d = e/f:1 ,") == {"a": "b", "c-d": "e/f:1"}
    assert classify.parse_labels("") == {}


@pytest.mark.parametrize(
    "header",
    ["a", "a=b, a=c", "A=b", "a=b c", "a=", "=b", "a=b=c", ",".join(f"k{n}=v" for n in range(33))],
)
def test_a_malformed_labels_header_is_refused(header):
    with pytest.raises(errors.RequestLabelsError, match="Send at most 32|Write keys"):
        classify.parse_labels(header)


@pytest.mark.parametrize(
    ("pattern", "path", "matches"),
    [
        ("/a", "/a", True),
        ("/a/", "/a", True),
        ("/a", "/ab", False),
        ("/a*", "/ab/c", True),
        ("*", "/any", True),
        ("/*/x", "/a/b/x", True),
        ("/a*a", "/a", False),
        ("/*b*c", "/abc", True),
        ("/*c*b", "/abc", False),
        ("/*bc*c", "/abc", False),
    ],
)
def test_path_patterns(pattern, path, matches):
    assert plain_call.path_matches(pattern, path) is matches


def test_an_explanation_names_each_unmet_requirement(configuration):
    labels = classify.route_labels(configuration, configuration.accounts[0], parsed(model="m"))
    routes = classify.explain_route(configuration, labels)
    assert [(item.name, item.matched) for item in routes] == [("large", False)]
    classes = {item.name: item for item in classify.explain_class(configuration, labels)}
    assert list(classes) == ["once", "large", "hold", "chat"]
    assert [item.name for item in classes.values() if item.chosen] == ["chat"]
    assert classes["large"].unmet == ("size must be one of large; the request has size=small",)
    assert classes["once"].unmet == ("task must be one of once; the request has no label task",)


KEYS = ("a", "b", "c")
VALUES = ("1", "2")
TERMS = st.sampled_from(
    [f"{key}{sign}{value}" for key, sign, value in itertools.product(KEYS, ("=", "!="), VALUES)]
    + list(KEYS)
    + [f"!{key}" for key in KEYS]
    + [f"{key} {word} (1, 2)" for key in KEYS for word in ("in", "not in")]
)
SELECTORS = st.lists(TERMS, max_size=3)
LABELS = st.dictionaries(st.sampled_from(KEYS), st.sampled_from(VALUES))


def naively_matches(terms, labels):
    def meets(term):
        if term.startswith("!"):
            return term[1:] not in labels
        if " not in " in term:
            return labels.get(term[0]) not in VALUES
        if " in " in term:
            return labels.get(term[0]) in VALUES
        if "!=" in term:
            return labels.get(term[0]) != term[-1]
        if "=" in term:
            return labels.get(term[0]) == term[-1]
        return term in labels

    return all(meets(term) for term in terms)


@hypothesis.given(
    st.lists(st.tuples(SELECTORS, st.integers(0, 2)), max_size=6),
    st.lists(st.tuples(SELECTORS, st.integers(0, 2), st.sampled_from("stu")), max_size=4),
    LABELS,
)
def test_class_and_route_are_those_of_a_naive_scan(classes, routes, labels):
    services = (
        configurations.Service("s", MODEL, ""),
        configurations.Service("t", MODEL, ""),
        configurations.Service("u", PLAIN, ""),
    )
    configuration = configurations.Configuration(
        services=services,
        classes=tuple(
            configurations.RequestClass(f"c{number}", 1, ", ".join(terms), precedence)
            for number, (terms, precedence) in enumerate(classes)
        ),
        routes=tuple(
            configurations.Route(f"r{number}", ", ".join(terms), service, precedence)
            for number, (terms, precedence, service) in enumerate(routes)
        ),
    )
    best_class, best = "default", None
    for number, (terms, precedence) in enumerate(classes):
        if naively_matches(terms, labels) and (best is None or precedence > best):
            best_class, best = f"c{number}", precedence
    assert classify.choose_class(configuration, labels).name == best_class
    best_service, best = "s", None
    for terms, precedence, service in routes:
        applies = service != "u" and naively_matches(terms, labels)
        if applies and (best is None or precedence > best):
            best_service, best = service, precedence
    assert classify.route(configuration, {**labels, "service": "s"}).name == best_service
    explained = classify.explain_class(configuration, labels)
    assert [item.name for item in explained if item.chosen] == (
        [best_class] if best_class != "default" else []
    )
