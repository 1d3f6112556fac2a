"""The operators' command line against fake control and entry hosts on loopback."""

import dataclasses
import hashlib
import io
import json
import pathlib
import queue
import threading
import urllib.parse

import curio
import msgspec
import pytest

from medlarfork import errors, member, uuid7
from medlarfork.control import replicated_state
from medlarfork.declared import configuration as configurations
from medlarfork.declared import configuration_file
from medlarfork.http import http_server
from medlarfork.operator import ctl_program, operations, operator_client
from medlarfork.orders import order_types

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "bazar.toml"
STATUS_BY_CODE = {
    errors.Code.CHANGE_CONFLICT: 409,
    errors.Code.CONFIGURATION_INVALID: 422,
    errors.Code.NOT_LEADER: 421,
    errors.Code.NO_QUORUM: 503,
}
HOST = member.Member(
    "entry-1", 1, member.MemberState.SERVING, "tcp://127.0.0.1:1", "http://127.0.0.1:2", "fortaleza"
)
DEAD = "http://127.0.0.1:1"


class FakeControl:
    """HTTP server that answers like control; tests set its fields before it starts."""

    def __init__(self):
        self.configuration = configurations.Configuration(name="old")
        self.revision = 7
        self.records = []
        self.requests = []
        self.leader_address = None
        self.refuse = None
        self.refuse_path = None
        self.refusals = []
        self.lose_replies = 0
        self.accepted_by_id = {}
        self.waiting_polls = 0
        self.members = (operations.MemberStatus(HOST, 6, True),)
        self.ahead = ()
        self.absent_polls = 0
        self.upstream_ids = ()
        self.address = ""
        self._started = queue.Queue()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=(self._serve,))

    def start(self):
        self._thread.start()
        self.address = self._started.get(timeout=10)

    def close(self):
        self._stop.set()
        self._thread.join(timeout=10)

    async def _serve(self):
        server = http_server.HttpServer(self._handle, host="127.0.0.1", port=0)
        await server.start()
        self._started.put(server.address)
        await self._stop.wait()
        await server.close(within_s=1)

    async def _handle(self, exchange):
        body = await exchange.read_body()
        head = exchange.head
        self.requests.append((head.method, head.path, head.query, body, head.headers))
        reply = self._reply(head, body)
        if head.path == "/v1/changes" and self.lose_replies:
            self.lose_replies -= 1
            await exchange.abort()
            return
        headers = {"Content-Type": "application/json"}
        if isinstance(reply, operations.Refused):
            status = STATUS_BY_CODE.get(reply.code, 400)
            await exchange.respond(status, headers, msgspec.json.encode({"error": reply}))
        else:
            await exchange.respond(200, headers, msgspec.json.encode(reply))

    def _reply(self, head, body):
        if self.leader_address is not None and head.path != "/v1/status":
            return operations.Refused(
                errors.Code.NOT_LEADER, "Not the leader.", "Ask the leader.",
                leader_address=self.leader_address,
            )  # fmt: skip
        if self.refuse is not None:
            return self.refuse
        if self.refuse_path == head.path:
            return operations.Refused(errors.Code.NOT_FOUND, "No such path.", "Use another.")
        match head.path:
            case "/v1/configuration":
                return operations.ConfigurationReply(
                    self.revision, self.revision, self.configuration
                )
            case "/v1/changes":
                return self._change(msgspec.json.decode(body, type=operations.ApplyChange))
            case "/v1/history":
                return operations.HistoryReply(tuple(self.records))
            case "/v1/members":
                return operations.MembersReply((1, 2), self.members, self.revision)
            case "/v1/in-force":
                return self._in_force()
            case "/v1/status":
                return operations.StatusReply(
                    "c1", "leader", 3, "c1", True, 40, ("c1", "c2"), (), self.revision, 5, 0,
                    self.members,
                )  # fmt: skip
            case "/v1/upstreams":
                return operations.KnownUpstreams(self.upstream_ids)
            case "/v1/voters":
                asked = msgspec.json.decode(body, type=operations.ChangeVoters)
                return operations.VotersChanged(asked.add, asked.remove)
            case "/v1/explain":
                return {"query": head.query, "classes": [{"name": "chat", "matched": True}]}
            case "/v1/orders" if head.method == "GET":
                return operations.OrdersReply(self.revision, 2, (), (), (), (), ())
            case "/v1/orders":
                declared = msgspec.json.decode(body, type=order_types.Declare)
                return operations.ChangeAccepted(declared.change_id, self.revision + 1)

    def _in_force(self):
        waiting = self.waiting_polls > 0
        self.waiting_polls -= 1
        members = () if self.absent_polls > 0 else self.members
        self.absent_polls -= 1
        names = tuple(status.member.entry_id for status in members)
        late = names if waiting else self.ahead
        confirmed = tuple(name for name in names if name not in late)
        return operations.InForceReply(self.revision, confirmed, late, ("entry-9",), self.ahead)

    def _change(self, change):
        if change.change_id in self.accepted_by_id:
            return {"revision": self.accepted_by_id[change.change_id]}
        if self.refusals:
            return self.refusals.pop(0)
        if change.base_revision != self.revision:
            return conflict(self.revision)
        self.revision += 1
        self.configuration = change.configuration
        self.accepted_by_id[change.change_id] = self.revision
        return {"revision": self.revision}


def conflict(revision):
    winner = replicated_state.ChangeRecord(revision, "winning-id", "ana", revision - 1, 0)
    return operations.Refused(
        errors.Code.CHANGE_CONFLICT, "The base revision is old.", "Start from the current one.",
        winner=winner,
    )  # fmt: skip


@pytest.fixture
def control():
    fake = FakeControl()
    fake.start()
    yield fake
    fake.close()


@pytest.fixture
def second():
    fake = FakeControl()
    fake.start()
    yield fake
    fake.close()


@pytest.fixture
def ctl(capsys):
    def run(*arguments, controls=()):
        addresses = ",".join(fake if isinstance(fake, str) else fake.address for fake in controls)
        flags = (f"--control={addresses}",) if addresses else ()
        status = ctl_program.main(("medlarctl", *flags, "--patience_s=0", *arguments))
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return run


def paths(fake):
    return [path for _, path, _, _, _ in fake.requests]


def test_check_accepts_a_valid_file(ctl):
    assert ctl("check", str(EXAMPLE)) == (0, f"{EXAMPLE}: no mistakes\n", "")


def test_check_lists_every_mistake_and_exits_with_2(ctl, tmp_path):
    file = tmp_path / "c.toml"
    file.write_text('[[account]]\nname = "a"\nweight = 0\n[[class]]\nname = "c"\ntire = 1\n')
    status, out, err = ctl("check", str(file))
    assert (status, out) == (2, "")
    assert f"{file}:3: account.a.weight: 0 is out of range; write a number above 0." in err
    assert f"{file}:6: class[0].tire: unknown key; did you mean tier?" in err
    assert f"{file}:4: class[0].tier: missing key; add it as a whole number." in err


@pytest.mark.parametrize(
    ("arguments", "piece"),
    [
        ((), "No command is given"),
        (("aply", "x"), "There is no command 'aply x'"),
        (("check",), "Write medlarctl check FILE"),
        (("apply", "x"), "Give --control="),
        (("check", "x", "--outputt=json"), "outputt"),
        (("check", "x", "--output=yaml"), "yaml"),
        (("check", "missing.toml"), "missing.toml:1: can't be read"),
        (("explain", "--account=a", "--model=m", "--path=/services/x"), "one of --model"),
        (("drain", "engine", "x", f"--control={DEAD}"), "Write upstream ID or entry ID"),
        (("history", f"--control={DEAD}", "--operator_key_file=/none"), "--operator_key_file"),
        (("history", "--settings=/none.toml"), "/none.toml:1: can't be read"),
    ],
)
def test_bad_input_exits_with_2_and_names_the_remedy(ctl, arguments, piece):
    status, out, err = ctl(*arguments)
    assert (status, out) == (2, "")
    assert piece in err


def test_help_documents_every_exit_status(ctl):
    status, out, _ = ctl("--help")
    assert status == 0
    for exit_status in ctl_program.ExitStatus:
        assert f"\n  {exit_status.value}  {exit_status.meaning}" in out


def test_apply_sends_the_file_with_the_current_revision(ctl, control):
    status, out, err = ctl("apply", str(EXAMPLE), "--operator=rui", controls=[control])
    assert (status, out) == (0, "accepted as revision 8\n")
    assert control.configuration == configuration_file.read(EXAMPLE)
    change = msgspec.json.decode(control.requests[-1][3], type=operations.ApplyChange)
    assert (change.base_revision, change.operator) == (7, "rui")
    assert uuid7.time_ms(change.change_id) is not None
    assert f"change_id={change.change_id} base_revision=7" in err


def test_apply_sends_the_specified_id_and_base_revision(ctl, control):
    change_id = uuid7.make(1, bytes(10))
    arguments = ("apply", str(EXAMPLE), f"--change_id={change_id}", "--base_revision=7")
    assert ctl(*arguments, controls=[control])[0] == 0
    # A manual retry gets the first answer, although the current revision has changed.
    assert ctl(*arguments, controls=[control])[:2] == (0, "accepted as revision 8\n")
    assert control.revision == 8


def test_new_id_prints_an_id_for_a_change(ctl):
    status, out, err = ctl("new-id")
    assert (status, err) == (0, "")
    assert uuid7.time_ms(out.strip()) is not None
    assert ctl("new-id")[1] != out


def test_a_fetched_file_states_its_base_revision(ctl, control, tmp_path):
    control.configuration = configuration_file.read(EXAMPLE)
    status, out, _ = ctl("fetch", controls=[control])
    assert status == 0
    file = tmp_path / "fetched.toml"
    file.write_text(out)
    assert configuration_file.load(file) == configuration_file.ConfigurationFile(
        control.configuration, 7
    )
    assert ctl("check", str(file))[0] == 0
    assert "equals revision 7" in ctl("diff", str(file), controls=[control])[1]
    status, _, err = ctl("apply", str(file), controls=[control])
    assert status == 0
    assert "base_revision=7" in err


def test_a_fetched_file_does_not_overwrite_a_later_change(ctl, control, tmp_path):
    file = tmp_path / "fetched.toml"
    file.write_text(ctl("fetch", controls=[control])[1])
    control.revision = 8
    control.configuration = configurations.Configuration(name="changed meanwhile")
    err = ctl("diff", str(file), controls=[control])[2]
    assert "was made from revision 7; the current one is 8" in err
    status, _, err = ctl("apply", str(file), controls=[control])
    assert status == 1
    assert "winning-id" in err
    assert control.configuration.name == "changed meanwhile"
    assert ctl("apply", str(file), "--base_revision=8", controls=[control])[0] == 0


def test_a_fetched_file_is_resent_with_its_base_revision(ctl, control, tmp_path):
    file = tmp_path / "fetched.toml"
    file.write_text(ctl("fetch", controls=[control])[1])
    again = ("apply", str(file), f"--change_id={uuid7.make(1, bytes(10))}")
    assert [ctl(*again, controls=[control])[:2] for _ in range(2)] == [
        (0, "accepted as revision 8\n")
    ] * 2


def test_a_conflict_exits_with_1_and_names_the_winner(ctl, control):
    status, out, err = ctl("apply", str(EXAMPLE), "--base_revision=5", controls=[control])
    assert (status, out) == (1, "")
    assert "Change winning-id of operator ana was accepted instead, as revision 7." in err
    assert "Start from the current one." in err
    assert control.revision == 7


def test_findings_of_control_are_printed(ctl, control):
    control.refusals = [
        operations.Refused(
            errors.Code.CONFIGURATION_INVALID, "1 mistake.", "Correct it.", findings=("a: b; c.",)
        )
    ]
    status, _, err = ctl("apply", str(EXAMPLE), controls=[control])
    assert status == 1
    assert "1 mistake.\na: b; c. Correct it." in err


def test_after_a_lost_reply_the_same_change_is_resent(ctl, control):
    control.lose_replies = 1
    status, out, _ = ctl("apply", str(EXAMPLE), "--patience_s=30", controls=[control])
    assert (status, out) == (0, "accepted as revision 8\n")
    sent = [body for _, path, _, body, _ in control.requests if path == "/v1/changes"]
    assert len(sent) == 2
    assert sent[0] == sent[1]
    assert control.revision == 8


def test_a_change_of_voters_is_not_resent_after_a_lost_reply():
    calls = []

    class Lossy:
        async def request(self, address, *_, **__):
            calls.append(address)
            raise errors.UpstreamError("Cut.", remedy="None.")

    settings = operator_client.ClientSettings(("http://a", "http://b"), patience_s=0)
    client = operator_client.OperatorClient(Lossy(), settings)

    async def change():
        await client.change_voters(add="c9")

    with pytest.raises(errors.ControlUnreachableError, match="may have been carried out"):
        curio.run(change)
    assert calls == ["http://a"]


def test_wait_returns_once_every_member_has_confirmed(ctl, control):
    control.waiting_polls = 2
    status, out, _ = ctl("apply", str(EXAMPLE), "--wait", controls=[control])
    assert status == 0
    assert "revision 8 is in force at: entry-1" in out
    assert "no longer members: entry-9" in out
    assert paths(control).count("/v1/in-force") == 3


def test_wait_exits_with_4_after_its_timeout(ctl, control):
    control.waiting_polls = 10**6
    status, out, _ = ctl("apply", str(EXAMPLE), "--wait", "--wait_s=0", controls=[control])
    assert status == 4
    assert "accepted as revision 8" in out
    assert "not confirmed by: entry-1" in out


def test_wait_without_an_entry_host_fails(ctl, control):
    control.members = ()
    status, out, _ = ctl("apply", str(EXAMPLE), "--wait", "--wait_s=0", controls=[control])
    assert status == 4
    assert "revision 8 is in force nowhere: no entry host holds a lease" in out
    status, out, _ = ctl(
        "apply", str(EXAMPLE), "--wait", "--wait_s=0", "--output=json", controls=[control]
    )
    assert (status, json.loads(out)["in_force"]) == (4, False)


def test_wait_gives_an_entry_host_time_to_start(ctl, control):
    control.absent_polls = 2
    assert ctl("apply", str(EXAMPLE), "--wait", controls=[control])[0] == 0
    assert paths(control).count("/v1/in-force") == 3


def test_wait_names_hosts_that_are_ahead_and_returns_at_once(ctl, control):
    control.ahead = ("entry-1",)
    status, out, _ = ctl("apply", str(EXAMPLE), "--wait", controls=[control])
    assert status == 4
    assert "is in force at" not in out
    assert "holds a later revision than control has: entry-1" in out
    assert "Restart" in out
    assert paths(control).count("/v1/in-force") == 1


def test_members_and_status_name_hosts_that_are_ahead(ctl, control):
    control.members = (operations.MemberStatus(HOST, 9, True),)
    for command in ("members", "status"):
        out = ctl(command, controls=[control])[1]
        assert "entry-1  serving  fortaleza    9 (ahead)" in out
        assert "holds a later revision than control has: entry-1" in out


def test_the_leader_is_found_after_a_dead_host_and_a_follower(ctl, control, second):
    control.leader_address = second.address
    status, out, _ = ctl("members", controls=[DEAD, control])
    assert status == 0
    assert "entry-1  serving  fortaleza    6" in out
    assert (paths(control), paths(second)) == (["/v1/members"], ["/v1/members"])


def test_hosts_that_point_at_each_other_are_asked_once_a_round(ctl, control, second):
    control.leader_address = second.address
    second.leader_address = control.address
    status, _, err = ctl("members", controls=[control, second])
    assert status == 3
    assert "most control hosts run" in err
    assert (len(control.requests), len(second.requests)) == (1, 1)


def test_unreachable_hosts_exit_with_3(ctl):
    status, out, err = ctl("history", controls=[DEAD])
    assert (status, out) == (3, "")
    assert "Check the addresses in --control" in err


def test_a_lost_majority_exits_with_3(ctl, control):
    control.refuse = operations.Refused(errors.Code.NO_QUORUM, "No majority.", "Bring one back.")
    assert ctl("history", controls=[control])[0] == 3


def test_diff_shows_what_would_change(ctl, control, tmp_path):
    status, out, _ = ctl("diff", str(EXAMPLE), controls=[control])
    assert status == 0
    assert '-name = "old"\n+name = "bazar"' in out
    control.configuration = configuration_file.read(EXAMPLE)
    assert "equals revision 7" in ctl("diff", str(EXAMPLE), controls=[control])[1]
    assert control.revision == 7


def test_history_and_status_are_tables(ctl, control):
    control.records = [replicated_state.ChangeRecord(7, "id-7", "ana", 6, 1_700_000_000_000)]
    out = ctl("history", controls=[control])[1]
    assert out.splitlines()[1].split() == ["7", "2023-11-14", "22:13:20Z", "ana", "6", "id-7"]
    status, out, _ = ctl("status", controls=[control, DEAD])
    assert status == 0
    assert "leader" in out
    assert f"{DEAD}" in out
    assert "voters: c1, c2" in out


def test_status_shows_a_problem_in_a_column_of_its_own(ctl, control):
    assert "PROBLEM" not in ctl("status", controls=[control])[1]
    out = ctl("status", controls=[control, DEAD])[1]
    lines = out.splitlines()
    assert lines[0].split()[-1] == "PROBLEM"
    assert lines[2].split()[:3] == [DEAD, "-", "-"]
    assert lines[2].index("[Errno 111]") == lines[0].index("PROBLEM")
    assert max(map(len, lines)) <= 120
    reply = json.loads(ctl("status", "--output=json", controls=[control, DEAD])[1])
    assert f"Can't connect to {DEAD}" in reply["unreachable"][DEAD]


def test_drain_and_undrain_change_nothing_else(ctl, control):
    before = configuration_file.read(EXAMPLE)
    control.configuration = before
    assert ctl("drain", "upstream", "u1", controls=[control])[0] == 0
    assert ctl("drain", "entry", "e1", controls=[control])[0] == 0
    drained = dataclasses.replace(before, drained_upstreams=("u1",), drained_entries=("e1",))
    assert control.configuration == drained
    assert "drained already; revision 9 stays" in ctl("drain", "entry", "e1", controls=[control])[1]
    assert ctl("undrain", "upstream", "u1", controls=[control])[0] == 0
    assert control.configuration == dataclasses.replace(drained, drained_upstreams=())
    assert control.revision == 10


def test_drain_warns_of_an_unknown_id(ctl, control):
    control.upstream_ids = ("u1",)
    for kind, known, unknown in (("upstream", "u1", "u9"), ("entry", "entry-1", "entry-7")):
        status, _, err = ctl("drain", kind, unknown, controls=[control])
        assert status == 0
        assert f"control knows no {kind} {unknown} at the moment" in err
        assert "knows no" not in ctl("drain", kind, known, controls=[control])[2]
        assert "knows no" not in ctl("undrain", kind, unknown, controls=[control])[2]
    assert control.configuration.drained_upstreams == ("u1",)


def test_a_drain_whose_id_can_not_be_checked_is_applied(ctl, control):
    control.refuse_path = "/v1/upstreams"
    status, _, err = ctl("drain", "upstream", "u1", controls=[control])
    assert status == 0
    assert "could not be checked" in err


def test_a_drain_is_retried_after_a_conflict(ctl, control):
    control.refusals = [conflict(7), conflict(7)]
    status, _, err = ctl("drain", "upstream", "u1", controls=[control])
    assert status == 0
    assert err.count("retrying:") == 2
    changes = [
        msgspec.json.decode(body, type=operations.ApplyChange).change_id
        for _, path, _, body, _ in control.requests
        if path == "/v1/changes"
    ]
    assert len(set(changes)) == 3


def test_drain_gives_up_after_many_conflicts(ctl, control):
    control.refusals = [conflict(7)] * 50
    assert ctl("drain", "upstream", "u1", controls=[control])[0] == 1
    assert paths(control).count("/v1/changes") == 8


def test_apply_warns_if_it_ends_a_drain(ctl, control):
    control.configuration = dataclasses.replace(control.configuration, drained_entries=("e1",))
    err = ctl("apply", str(EXAMPLE), controls=[control])[2]
    assert "this ends the drain of entry e1; list it under deployment.drained_entries" in err


def test_explain_asks_the_next_entry_host(ctl, control):
    status, out, _ = ctl(
        "explain", f"--entry={DEAD},{control.address}", "--account=shop", "--model=m",
        "--labels=task=chat,a=b",
    )  # fmt: skip
    assert status == 0
    assert "name: chat\n    matched: yes" in out
    query = urllib.parse.parse_qs(control.requests[0][2])
    assert query == {
        "account": ["shop"], "model": ["m"], "labels": ["task=chat,a=b"], "stream": ["false"]
    }  # fmt: skip


def test_voters_and_orders_are_sent_to_control(ctl, control, tmp_path):
    assert ctl("voters", "add", "c4", controls=[control])[:2] == (0, "added c4\n")
    assert ctl("voters", "remove", "c4", controls=[control])[:2] == (0, "removed c4\n")
    assert ctl("orders", "list", controls=[control])[0] == 0
    file = tmp_path / "order.toml"
    file.write_text('name = "adapter"\nselector = "pool=a"\nrole = "decode"\n')
    issue = ("orders", "issue", str(file))
    assert ctl(*issue, controls=[control])[0] == 0
    first, again = json.loads(control.requests[-1][3]), ("--change_id=c", "--base_revision=3")
    assert (first["desired"]["role"], first["base_revision"]) == ("decode", control.revision)
    assert uuid7.time_ms(first["change_id"]) is not None
    assert ctl(*issue, *again, controls=[control])[0] == 0
    resent = json.loads(control.requests[-1][3])
    assert (resent["change_id"], resent["base_revision"]) == ("c", 3)
    file.write_text("role = 1\n")
    assert ctl("orders", "issue", str(file), controls=[control])[0] == 2


def test_json_output_and_settings_file(ctl, control, tmp_path):
    key = tmp_path / "operator.key"
    key.write_text("secret\n")
    settings = tmp_path / "ctl.toml"
    settings.write_text(
        f'control = ["{control.address}"]\noutput = "json"\noperator_key_file = "{key}"\n'
    )
    status, out, _ = ctl(f"--settings={settings}", "members")
    assert status == 0
    assert json.loads(out)["members"][0]["member"]["entry_id"] == "entry-1"
    assert control.requests[0][4]["authorization"] == "Bearer secret"
    status, _, err = ctl(f"--settings={settings}", "apply", str(EXAMPLE), "--base_revision=1")
    assert status == 1
    detail = json.loads(err[err.index("{") :])["error"]
    assert (detail["code"], detail["remedy"]) == ("change_conflict", "Start from the current one.")


def test_hash_key_reads_standard_input(ctl, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO("bazar-loja-01-key\n"))
    digest = hashlib.sha256(b"bazar-loja-01-key").hexdigest()
    assert ctl("hash-key")[:2] == (0, f"{digest}\n")
    assert digest in EXAMPLE.read_text(encoding="utf-8")
    monkeypatch.setattr("sys.stdin", io.StringIO("\n"))
    assert ctl("hash-key")[0] == 2


def test_keygen_writes_a_pair_once(ctl, tmp_path):
    assert ctl("keygen", str(tmp_path), "c1")[0] == 0
    assert sorted(path.name for path in tmp_path.iterdir()) == ["c1.key", "c1.pub"]
    status, _, err = ctl("keygen", str(tmp_path), "c1")
    assert status == 1
    assert err
