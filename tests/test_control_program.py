"""Tests of three control programs over real sockets and disks, in one curio kernel."""

import dataclasses
import errno
import hashlib
import socket
import time

import curio
import msgspec
import pytest

from medlarfork import claim, errors, heartbeat, member, uuid7
from medlarfork.control import control_program, control_settings
from medlarfork.declared import configuration
from medlarfork.http import http_client
from medlarfork.links import link, wire
from medlarfork.operator import operations, operator_client
from medlarfork.orders import order_types
from medlarfork.replica import journal

_TRIES = 400
_PAUSE_S = 0.05


def _free_ports(count):
    """Return free ports; all are reserved until the last one is known."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


@pytest.fixture
def settings_by_id(tmp_path):
    ids = ("c1", "c2", "c3")
    ports = iter(_free_ports(6))
    replicas = tuple(
        control_settings.ReplicaAddress(
            replica_id, f"tcp://127.0.0.1:{next(ports)}", f"http://127.0.0.1:{next(ports)}"
        )
        for replica_id in ids
    )
    operator = control_settings.Operator("ana", hashlib.sha256(b"secret-key").hexdigest())
    return {
        replica_id: control_settings.ControlSettings(
            replica_id=replica_id,
            data_folder=tmp_path / replica_id,
            replicas=replicas,
            operators=(operator,),
        )
        for replica_id in ids
    }


class _Site:
    """Running programs and their clients."""

    def __init__(self, settings_by_id, key="secret-key"):
        self.settings_by_id = settings_by_id
        self.addresses = tuple(s.own_address.http_address for s in settings_by_id.values())
        self.program_by_id = {}
        self.http = http_client.HttpClient()
        settings = operator_client.ClientSettings(self.addresses, key, patience_s=20.0)
        self.client = operator_client.OperatorClient(self.http, settings)

    async def __aenter__(self):
        await self.http.start()
        for replica_id in self.settings_by_id:
            await self.start(replica_id)
        return self

    async def __aexit__(self, *_):
        for program in self.program_by_id.values():
            await program.close()
        await self.http.close()

    async def start(self, replica_id):
        program = control_program.ControlProgram(self.settings_by_id[replica_id])
        self.program_by_id[replica_id] = program
        await program.start()

    async def leader(self):
        for _ in range(_TRIES):
            for replica_id, program in self.program_by_id.items():
                status = await self.client.status(program.http_address)
                if status.has_lease:
                    return replica_id
            await curio.sleep(_PAUSE_S)
        raise AssertionError("no leader")


def _run(settings_by_id, body, **kwargs):
    async def _main():
        async with _Site(settings_by_id, **kwargs) as site:
            await body(site)

    curio.run(_main)


def _change_id(number):
    # The programs read the real clock, so the ids need the current time.
    return uuid7.make(time.time_ns() // 1_000_000, number.to_bytes(uuid7.RANDOM_BYTES, "big"))


def test_a_change_survives_a_graceful_stop_and_a_restart(settings_by_id):
    async def _body(site):
        change_id = _change_id(1)
        proposed = configuration.Configuration(name="first")
        accepted = await site.client.apply(change_id, 0, proposed)
        assert accepted.revision == 1
        old = await site.leader()
        program = site.program_by_id.pop(old)
        await program.stop()
        await program.close()
        assert await site.leader() != old
        # Resent to the new leader, the change gets its first answer.
        assert await site.client.apply(change_id, 0, proposed) == accepted
        with pytest.raises(errors.OperatorError, match=change_id) as caught:
            await site.client.apply(_change_id(2), 0, configuration.Configuration(name="b"))
        assert caught.value.code is errors.Code.CHANGE_CONFLICT
        await site.start(old)
        (record,) = (await site.client.history()).changes
        assert (record.change_id, record.operator) == (change_id, "ana")
        reply = await site.client.configuration()
        assert (reply.revision, reply.configuration) == (1, proposed)

    _run(settings_by_id, _body)


def test_orders_are_declared_and_listed(settings_by_id):
    async def _body(site):
        desired = order_types.DesiredState("all-8b", "engine=lm")
        first, second, third = (_change_id(number) for number in (1, 2, 3))
        declare = order_types.Declare(desired, first, 0, "somebody")
        accepted = operations.ChangeAccepted(first, 1)
        for _ in range(2):
            assert await site.client.declare_order(declare) == accepted
        listed = await site.client.orders()
        (declared,) = listed.desired
        assert (listed.revision, declared.desired) == (1, desired)
        assert (declared.change_id, declared.operator) == (first, "ana")
        for wrong, code in (
            (dataclasses.replace(declare, change_id=second), "change_conflict"),
            (dataclasses.replace(declare, base_revision=1), "key_reused"),
            (dataclasses.replace(declare, change_id="x"), "bad_request"),
            (
                order_types.Declare(order_types.DesiredState("bad", "=="), third, 1),
                "bad_request",
            ),
        ):
            with pytest.raises(errors.OperatorError) as caught:
                await site.client.declare_order(wrong)
            assert caught.value.code == code
            if code == "change_conflict":
                assert f"Change {first} of operator ana" in str(caught.value)

    _run(settings_by_id, _body)


def test_an_entry_host_gets_the_configuration_and_a_claim(settings_by_id):
    async def _body(site):
        await site.client.apply(_change_id(1), 0, configuration.Configuration(name="first"))
        leader_id = await site.leader()
        entry = link.Link(identity="e1", codec=wire.make_codec(), bind="tcp://127.0.0.1:0")
        await entry.start()
        try:
            entry.connect(leader_id, site.settings_by_id[leader_id].own_address.link_address)
            me = member.Member("e1", 1, member.MemberState.SERVING, entry.address, "http://x")
            reply = await _asked(entry, leader_id, heartbeat.HeartbeatReply, _beats(me))
            assert reply.whole.configuration.name == "first"
            holder = claim.Holder("e1", 1, "r1")
            request = claim.ClaimRequest(claim.ClaimKey("acc", "k"), holder, "b")
            reply = await _asked(entry, leader_id, claim.ClaimReply, iter([request] * _TRIES))
            assert reply.verdict is claim.Verdict.GRANTED
            members = await site.client.members()
            assert [status.member.entry_id for status in members.members] == ["e1"]
            metrics = await _get(site, leader_id, "/metrics")
            assert b"medlar_members 1.0" in metrics.body
        finally:
            await entry.close()

    _run(settings_by_id, _body)


def _beats(me):
    for number in range(1, _TRIES):
        yield heartbeat.Heartbeat(me, number, 0, (0, 0))


async def _asked(entry, leader_id, kind, messages):
    """Send the messages one by one until a reply of the given kind arrives."""
    for message in messages:
        entry.send(leader_id, message)
        received = await curio.ignore_after(_PAUSE_S, entry.receive)
        while received is not None:
            if isinstance(received.message, kind):
                return received.message
            received = await curio.ignore_after(_PAUSE_S, entry.receive)
    raise AssertionError("no reply")


class _Got(msgspec.Struct):
    status: int
    body: bytes


async def _get(site, replica_id, target, method="GET", body=b"", key="secret-key"):
    headers = {"Authorization": f"Bearer {key}"}
    address = site.settings_by_id[replica_id].own_address.http_address
    response = await site.http.request(address, method, target, headers, body, timeout_s=5.0)
    return _Got(response.status, await response.read())


def test_a_second_program_on_one_folder_is_refused(settings_by_id):
    async def _body(site):
        second = control_program.ControlProgram(settings_by_id["c1"])
        with pytest.raises(errors.JournalError):
            await second.start()

    _run(settings_by_id, _body)


def test_a_failed_disk_ends_the_program(settings_by_id, monkeypatch):
    write_and_sync = journal._write_and_sync

    async def _body(site):
        leader_id = await site.leader()
        program = site.program_by_id[leader_id]

        def _fail_for_the_leader(file, data):
            if file is program._journal._file:
                raise OSError(errno.EIO, "Input/output error")
            write_and_sync(file, data)

        monkeypatch.setattr(journal, "_write_and_sync", _fail_for_the_leader)
        proposed = configuration.Configuration()
        applying = await curio.spawn(site.client.apply, _change_id(1), 0, proposed, daemon=True)
        await curio.timeout_after(20, program.wait_failed)
        await applying.cancel()
        assert isinstance(program.failure, errors.JournalError)

    _run(settings_by_id, _body)


def test_requests_that_can_not_be_answered_are_refused(settings_by_id):
    async def _body(site):
        leader_id = await site.leader()
        follower_id = next(name for name in site.program_by_id if name != leader_id)
        requests = [
            (leader_id, "/v1/status", "GET", b"", "wrong", 401),
            (leader_id, "/v1/nothing", "GET", b"", "secret-key", 404),
            (leader_id, "/v1/configuration?revision=x", "GET", b"", "secret-key", 400),
            (leader_id, "/v1/configuration?revision=9", "GET", b"", "secret-key", 404),
            (leader_id, "/v1/in-force", "GET", b"", "secret-key", 400),
            (leader_id, "/v1/upstreams", "GET", b"", "secret-key", 400),
            (leader_id, "/v1/upstreams?id=u1", "GET", b"", "secret-key", 200),
            (leader_id, "/v1/changes", "POST", b"{", "secret-key", 400),
            (leader_id, "/v1/changes", "POST", b'{"a":' + b"[" * 10_000, "secret-key", 400),
            (follower_id, "/v1/history", "GET", b"", "secret-key", 421),
            (leader_id, "/healthz", "GET", b"", "none", 200),
            (leader_id, "/readyz", "GET", b"", "none", 200),
        ]
        for replica_id, target, method, body, key, status in requests:
            got = await _get(site, replica_id, target, method, body, key)
            assert (target, got.status) == (target, status)
        got = await _get(site, follower_id, "/v1/history")
        refused = msgspec.json.decode(got.body)["error"]
        assert refused["leader_address"] == site.settings_by_id[leader_id].own_address.http_address
        invalid = configuration.Configuration(accounts=(configuration.Account("a"),) * 2)
        change = operations.ApplyChange(_change_id(1), 0, invalid, "someone else")
        got = await _get(site, leader_id, "/v1/changes", "POST", msgspec.json.encode(change))
        assert got.status == 422
        assert msgspec.json.decode(got.body)["error"]["findings"]

    _run(settings_by_id, _body)


@pytest.mark.parametrize(
    "changes",
    [
        {"replica_id": "c9"},
        {"operators": ()},
        {"initial_voters": ("c9",)},
        {"allow_anyone": True},
    ],
)
def test_settings_that_contradict_each_other_are_refused(settings_by_id, changes):
    with pytest.raises(errors.SettingsError):
        control_settings.check(dataclasses.replace(settings_by_id["c1"], **changes))
