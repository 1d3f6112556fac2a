"""What other processes send is refused where it is decoded if it is out of bounds."""

import dataclasses
import json
import math
import pathlib
import types

import curio
import msgspec
import pytest

from medlarfork import bounds, codec, errors
from medlarfork.coordination import operations_format
from medlarfork.entry import entry_api

OWN = {
    "upstream_id": "u-1",
    "service": "engines",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "slots": 3,
    "sequence": 1,
}
USERS = {
    "Service": "engines",
    "Address": "10.0.0.9:80",
    "Zone": "z1",
    "Slots": 3,
    "State": "ready",
    "Sequence": 1,
}
DEEP = "[" * 10_000 + "]" * 10_000
LONG = "1" * 1_000_000


@pytest.fixture
def formats(monkeypatch):
    """Return, by name, the call that announces an upstream, and the format that decodes it."""
    monkeypatch.syspath_prepend(str(pathlib.Path(__file__).parent.parent / "platform"))
    import users_operations

    return {
        "own": ("PUT", "/v1/upstreams/u-1", OWN, operations_format.OwnFormat(http_port=1)),
        "users": (
            "POST",
            "/instances/u-1/heartbeat",
            USERS,
            users_operations.UsersFormat(http_port=1),
        ),
    }


# Guards against: a number that doesn't fit into 64 bits was passed on, which ended each replica.
@pytest.mark.parametrize("name", ["own", "users"])
@pytest.mark.parametrize(
    ("field", "sent"),
    [
        ("sequence", str(2**63)),
        ("sequence", str(2**64)),
        ("sequence", "1" + "0" * 400),
        ("sequence", "-1"),
        ("sequence", "1.5"),
        ("sequence", "NaN"),
        ("born", str(2**64)),
        ("slots", str(2**64)),
        ("slow", "1e300"),
        ("zone", f'"{LONG}"'),
        ("version", f'"{LONG}"'),
        ("address", f'"10.0.0.9:{LONG}"'),
        ("address", f'"10.0.0.9:{LONG[:5000]}"'),
        ("service", DEEP),
        ("unknown", DEEP),
    ],
)
def test_an_announcement_out_of_bounds_is_refused(formats, name, field, sent):
    method, path, usual, speaks = formats[name]
    key = {
        "own": {"born": "born_ms", "slow": "slow_for_ms"}.get(field, field),
        "users": {"born": "born", "slow": "ColdRemainingMs"}.get(field, field.capitalize()),
    }[name]
    speaks.decode(method, path, "", json.dumps(usual).encode())
    body = json.dumps(usual | {key: "@"}).replace('"@"', sent).encode()
    with pytest.raises(errors.RequestRefusedError) as refused:
        speaks.decode(method, path, "", body)
    assert refused.value.status == 400


@pytest.mark.parametrize("body", [f'{{"born":{2**64}}}', f'{{"born":-{2**64}}}', f'{{"x":{DEEP}}}'])
def test_a_leave_out_of_bounds_names_no_upstream(formats, body):
    speaks = formats["users"][-1]
    with pytest.raises(errors.RequestRefusedError):
        speaks.decode("POST", "/instances/u-1/deregister", "", body.encode())


@pytest.mark.parametrize("name", ["", "u" * 201, "u\x80"])
def test_a_name_that_can_not_be_shown_is_refused(formats, name):
    for speaks, method, path in (
        (formats["users"][-1], "POST", f"/instances/{name}/deregister"),
        (formats["own"][-1], "DELETE", f"/v1/upstreams/{name}"),
    ):
        with pytest.raises(errors.RequestRefusedError):
            speaks.decode(method, path, "", b"")


@dataclasses.dataclass(frozen=True)
class _Message:
    values: tuple[object, ...]


@pytest.mark.parametrize(
    "value",
    [
        2**63,
        -(2**63),
        math.nan,
        math.inf,
        -1e300,
        "x" * (bounds.MAX_TEXT_LENGTH + 1),
        (0,) * (bounds.MAX_ITEMS + 1),
        {"key": [2**64]},
        {"x" * (bounds.MAX_TEXT_LENGTH + 1): 1},
    ],
)
def test_a_value_out_of_bounds_is_found_at_any_depth(value):
    bounds.require(_Message((1, 1.5, "x", None, True, b"x")))
    with pytest.raises(msgspec.ValidationError):
        bounds.require(_Message((_Message((value,)),)))


@pytest.mark.parametrize("name", ["own", "users"])
@pytest.mark.parametrize("body", [DEEP, f'{{"x":{DEEP}}}', "\xff"])
def test_a_routing_out_of_bounds_is_refused(formats, name, body):
    with pytest.raises(errors.ConfigurationError):
        formats[name][-1].decode_routing(body.encode("latin-1"))


@pytest.mark.parametrize("version", [2**63, 2**64, 10**400])
def test_a_version_that_does_not_fit_is_refused(formats, version):
    own = f'{{"version":{version}}}'
    users = f'{{"Version":{version},"Routes":[],"Services":[]}}'
    for name, body in (("own", own), ("users", users)):
        with pytest.raises(errors.ConfigurationError):
            formats[name][-1].decode_routing(body.encode())


# Guards against: a message that is nested too deeply ended the task that receives messages.
def test_a_message_nested_too_deeply_is_a_link_error():
    decoder = codec.Codec((_Message,))
    body = b"\x81\xa6values" + b"\x91" * 10_000 + b"\xc0"
    with pytest.raises(errors.LinkError):
        decoder.decode(b"_Message", body)
    with pytest.raises(errors.LinkError):
        decoder.unpack(b"\x91" * 10_000 + b"\xc0")


@dataclasses.dataclass(frozen=True)
class _Told:
    """A message with a field of each kind that has bounds."""

    sequence: int = 0
    load: float = 0.0
    name: str = ""
    items: tuple[int, ...] = ()
    by_name: dict[str, float] = dataclasses.field(default_factory=dict)
    body: bytes = b""


_TOLD = codec.Codec((_Told,))


# Guards against: values of other processes that can't be sent on, compared or added up.
@pytest.mark.parametrize(
    "fields",
    [
        {"load": math.inf},
        {"load": -math.inf},
        {"load": math.nan},
        {"load": 1.1e18},
        {"load": -1e300},
        {"name": "x" * 65_537},
        {"name": "x" * 1_000_000},
        {"items": [0] * 100_001},
        {"by_name": {"x" * 70_000: 1.0}},
        {"by_name": {"x": math.nan}},
    ],
)
def test_a_link_refuses_a_message_with_a_value_out_of_bounds(fields):
    body = msgspec.msgpack.encode(fields)
    with pytest.raises(errors.LinkError):
        _TOLD.decode(b"_Told", body)


@pytest.mark.parametrize("bits", ["ca7f800000", "caff800000", "ca7fc00000", "ca5e000000"])
def test_a_link_refuses_floats_of_32_bits_out_of_bounds(bits):
    body = b"\x81\xa4load" + bytes.fromhex(bits)
    with pytest.raises(errors.LinkError):
        _TOLD.decode(b"_Told", body)


@pytest.mark.parametrize(
    "told",
    [
        _Told(sequence=bounds.MAX_UNSIGNED, load=bounds.MAX_NUMBER),
        _Told(sequence=bounds.MAX_UNSIGNED, body=b"x" * 100_000),
        _Told(sequence=-bounds.MAX_INTEGER, load=-bounds.MAX_NUMBER),
        _Told(name="\N{GREEK SMALL LETTER PI}" * 20_000, items=(1,) * 70_000),
        _Told(body=bytes(range(256)) * 4_000),
    ],
)
def test_a_link_accepts_values_within_their_bounds(told):
    assert _TOLD.decode(*_TOLD.encode(told)) == told


def test_a_journal_reads_what_it_holds_whatever_its_size():
    told = _Told(name="x" * 1_000_000)
    assert _TOLD.unpack(_TOLD.pack(told)) == told


# Guards against: an announcement that a declared host could not decode or pass on got no answer.
@pytest.mark.parametrize(
    ("field", "sent"),
    [
        ("sequence", str(2**64)),
        ("slots", "1" + "0" * 400),
        ("labels", DEEP),
        ("unknown", DEEP),
        ("version", f'"{LONG}"'),
        ("state", '"\\ud800"'),
        ("load", '{"running": 1e300}'),
    ],
)
def test_a_declared_host_refuses_an_announcement_out_of_bounds(field, sent):
    usual = {
        "upstream_id": "u-1",
        "incarnation": 1,
        "sequence": 1,
        "state": "ready",
        "address": "http://10.0.0.9:80",
    }
    body = json.dumps(usual | {field: "@"}).replace('"@"', sent).encode()
    assert _read_by_declared_host(json.dumps(usual).encode()) == ([], "u-1")
    assert _read_by_declared_host(body) == ([400], None)


def _read_by_declared_host(body):
    """Return the statuses of the answers of a declared host, and the id that it read."""
    statuses = []

    async def respond(status, headers, body):
        statuses.append(status)

    async def read_body():
        return body

    exchange = types.SimpleNamespace(read_body=read_body, respond=respond, head=None)
    api = entry_api.EntryApi.__new__(entry_api.EntryApi)
    read = curio.run(api.read_announcement, exchange)
    return statuses, read and read.upstream_id
