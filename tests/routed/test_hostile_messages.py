"""No message that a link accepts ends a replica, its timer or its answers, whatever it holds."""

import dataclasses
import enum
import functools
import types
import typing

import curio
import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from medlarfork import codec, errors, node
from medlarfork.coordination import coordinator_types
from medlarfork.duties import engine_messages
from medlarfork.links import routed_links
from medlarfork.replica import replica
from tests import curio_world
from tests.routed import coordinator_cluster, routed_harness

KINDS = (
    *routed_links.ENTRY_MESSAGES,
    *replica.REPLICA_MESSAGES,
    *engine_messages.ENGINE_MESSAGES,
)
CODEC = codec.Codec(KINDS)
IDS = ("a", "b", "c", "d", "h-1", "u-1", "")
INTEGERS = st.sampled_from([0, 1, 2, 7, -1, 2**31, 2**62, 2**63 - 1, 2**64 - 1, -(2**63)])
FLOATS = st.sampled_from([0.0, 0.0, 1.5, 1.5, -1.0, 1e17, float("inf"), float("nan")])
TEXTS = st.sampled_from([*IDS, "engines", "x" * 1_000_000, "\ud7ff", "10.0.0.9:80"])
HOSTILE = st.one_of(
    INTEGERS, FLOATS, TEXTS, st.none(), st.booleans(), st.just({}), st.just([]), st.just(b"\xff")
)
RAW = [
    b"",
    b"\xc1",
    b"\x81\xa1\xff\x01",
    b"\x91" * 10_000 + b"\x90",
    b"\xdf\xff\xff\xff\xff",
    b"\xdb\xff\xff\xff\xff",
]


def values_of(kind):
    """Return a strategy for values of a field's type, most of them at an end of its range."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return st.one_of([values_of(argument) for argument in arguments])
    if origin is tuple and arguments[1:] == (...,):
        return st.lists(values_of(arguments[0]), max_size=2)
    if origin is tuple:
        return st.tuples(*map(values_of, arguments))
    if origin in (list, frozenset, set):
        return st.lists(values_of(arguments[0]), max_size=2)
    if origin is dict:
        return st.dictionaries(values_of(arguments[0]), values_of(arguments[1]), max_size=2)
    if dataclasses.is_dataclass(kind):
        return fields_of(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return st.sampled_from([item.value for item in kind])
    plain = {int: INTEGERS, float: FLOATS, str: TEXTS, bool: st.booleans(), bytes: st.just(b"\x00")}
    return plain.get(kind, st.none())


@functools.cache
def fields_of(kind):
    """Return a strategy for the fields of a message; one may be missing or of another type."""
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    whole = st.fixed_dictionaries({name: values_of(hints[name]) for name in names})
    if not names:
        return whole
    changed = st.tuples(whole, st.sampled_from(names), HOSTILE).map(
        lambda drawn: drawn[0] | {drawn[1]: drawn[2]}
    )
    missing = st.tuples(whole, st.sampled_from(names)).map(
        lambda drawn: {name: value for name, value in drawn[0].items() if name != drawn[1]}
    )
    return st.one_of(whole, whole, whole, changed, missing)


def decoded(kind, body):
    """Return the message of a body, None if the link refuses it."""
    try:
        return CODEC.decode(kind.__name__.encode(), body)
    except errors.LinkError:
        return None


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_no_body_breaks_the_decoder(kind):
    for body in RAW:
        decoded(kind, body)


# Guards against: a replica that a message from outside ended, or whose timer no longer ran.
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_a_replica_outlives_any_message(kind):
    cluster = coordinator_cluster.Cluster(others=())
    cluster.run(3.0)

    @hypothesis.settings(max_examples=25, deadline=None, database=None, derandomize=True)
    @hypothesis.given(sender=st.sampled_from(IDS), fields=fields_of(kind))
    def receive(sender, fields):
        message = decoded(kind, msgspec.msgpack.encode(fields))
        if message is None:
            return
        coordinator = cluster.host_by_id["a"].node
        cluster.post("a", node.MessageReceived(sender, message))
        actions = coordinator.handle(node.TimeDue(), cluster.time)
        assert [action for action in actions if isinstance(action, node.Wake)]
        cluster.run(0.1)

    receive()
    terms = [host.node.gauges()["term"] for host in cluster.host_by_id.values()]
    assert max(terms) < 2**40
    cluster.run(5.0)
    assert isinstance(cluster.put("a", 50), coordinator_types.Accepted)


def messages_of(kind):
    """Return messages of a kind that a link accepts, the same ones each time."""
    messages = []

    @hypothesis.settings(max_examples=25, deadline=None, database=None, derandomize=True)
    @hypothesis.given(fields=fields_of(kind))
    def collect(fields):
        messages.append(decoded(kind, msgspec.msgpack.encode(fields)))

    collect()
    return [message for message in messages if message is not None]


# Guards against: an entry host that a message ended, or whose later messages were lost as well.
def test_an_entry_host_outlives_any_message(tmp_path):
    messages = [item for kind in routed_links.ENTRY_MESSAGES for item in messages_of(kind)]

    async def main(deployment):
        await deployment.add_upstream()
        await deployment.put_routing()
        await deployment.until_upstreams(1)
        inbox = deployment.entry._link._inbox
        for number, message in enumerate(messages):
            sender = (*deployment.replica_ids, *IDS)[number % (len(IDS) + 3)]
            await inbox.put(node.MessageReceived(sender, message))
        await curio_world.until(inbox.empty)
        for _ in range(60):
            status = (await deployment.call()).status
            assert status in (200, 503)
            if status == 200:
                return
            await curio.sleep(0.1)
        raise AssertionError("the host does not serve any more")

    routed_harness.run(tmp_path, main)
