"""Tests of the replicated state, also against a naive model with a single dictionary."""

import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import claim, errors, member, uuid7
from medlarfork.control import replicated_state
from medlarfork.declared import configuration

_LIMITS = replicated_state.ClaimLimits(
    retention_ms=1000,
    claims=8,
    answer_bytes=8,
    answers_bytes=12,
    key_ahead_ms=100,
    abandoned=50,
    undated_retention_ms=1500,
    accounts=2,
    answers=3,
)
"""Of these 8 claims one account may hold 4 if nobody else has any."""

_CHANGE_LIMITS = replicated_state.ChangeLimits(
    remembered=5, remembered_ms=1000, id_ahead_ms=100, configurations=3, history=4
)


def _id(ms, number=0):
    return uuid7.make(ms, random.Random(number).randbytes(uuid7.RANDOM_BYTES))


def _change(change_id, base, operator="ana", name="x", at_ms=0):
    proposed = configuration.Configuration(name=name)
    return replicated_state.ConfigurationChange(change_id, base, operator, proposed, at_ms)


def _holder(entry="e1", request="r1"):
    return claim.Holder(entry, 1, request)


def _key(text="k", account="acc"):
    return claim.ClaimKey(account, text)


def _ask(key=None, holder=None, body="b"):
    request = claim.ClaimRequest(key or _key(), holder or _holder(), body)
    return replicated_state.ClaimOperation(request=request)


def _finish(answer, key=None, holder=None):
    finished = claim.ClaimFinish(key or _key(), holder or _holder(), answer)
    return replicated_state.ClaimOperation(finish=finished)


def _abandon(key=None, holder=None):
    abandoned = claim.ClaimAbandon(key or _key(), holder or _holder())
    return replicated_state.ClaimOperation(abandon=abandoned)


def _answer(body=b"ok"):
    return claim.StoredAnswer(200, "text/plain", body)


@pytest.fixture
def state():
    return replicated_state.ReplicatedState(change_limits=_CHANGE_LIMITS, claim_limits=_LIMITS)


@pytest.fixture
def apply(state):
    def apply(command):
        return state.apply(replicated_state.COMMANDS.pack(command))

    return apply


@pytest.fixture
def claim_at(apply):
    """Return a function that applies one claim operation at a log time."""

    def claim_at(at_ms, operation):
        (reply,) = apply(replicated_state.ClaimBatch(at_ms, (operation,)))
        return reply

    return claim_at


def test_of_two_changes_from_one_revision_one_is_accepted(apply, state):
    assert apply(_change(_id(1, 1), 0, "ana")).revision == 1
    lost = apply(_change(_id(1, 2), 0, "bea"))
    assert lost.code is errors.Code.CHANGE_CONFLICT
    assert lost.winner.change_id == _id(1, 1)
    assert (lost.winner.operator, lost.winner.revision) == ("ana", 1)
    assert state.current.revision == 1


def test_a_resent_change_gets_its_first_answer_also_from_a_snapshot(apply, state):
    accepted = apply(_change(_id(1, 1), 0))
    refused = apply(_change(_id(1, 2), 0))
    apply(_change(_id(1, 3), 1, name="y"))
    copy = replicated_state.ReplicatedState(change_limits=_CHANGE_LIMITS, claim_limits=_LIMITS)
    copy.restore(state.encode())
    for replica in (state, copy):
        for number, first in ((1, accepted), (2, refused)):
            command = replicated_state.COMMANDS.pack(_change(_id(1, number), 0, at_ms=50))
            assert replica.apply(command) == first
        assert replica.current.revision == 2
    assert copy.encode() == state.encode()


def test_a_change_id_is_not_reused_for_another_change(apply, state):
    apply(_change(_id(1), 0))
    assert apply(_change(_id(1), 0, name="other")).code is errors.Code.KEY_REUSED
    assert state.current.configuration.name == "x"


@pytest.mark.parametrize("later_ms", [0, 1000])
def test_an_evicted_change_id_is_refused(apply, state, later_ms):
    apply(_change(_id(5, 1), 0))
    for revision in range(1, 7 if later_ms == 0 else 2):
        apply(_change(_id(6 + later_ms, revision), revision, at_ms=later_ms))
    before = state.current
    # With the current base revision it would be accepted if it were taken for a new one.
    resent = _change(_id(5, 1), before.revision, at_ms=later_ms)
    assert apply(resent).code is errors.Code.CHANGE_TOO_OLD
    assert state.current == before


@pytest.mark.parametrize("change_id", ["7", _id(500), _id(1).upper()])
def test_a_change_id_without_a_valid_time_is_refused(apply, state, change_id):
    assert apply(_change(change_id, 0)).code is errors.Code.BAD_REQUEST
    assert state.current.revision == 0


def test_configurations_and_history_are_bounded(apply, state):
    for revision in range(6):
        apply(_change(_id(1 + revision), revision, name=f"n{revision + 1}"))
    assert [state.configuration_at(r) is not None for r in range(1, 7)] == [False] * 3 + [True] * 3
    assert state.configuration_at(5).configuration.name == "n5"
    assert [record.revision for record in state.history(10)] == [6, 5, 4, 3]
    # The winner from revision 0 is no longer known: the last change is returned instead.
    assert apply(_change(_id(10), 0)).winner.revision == 6


def test_a_claim_is_granted_to_one_holder(claim_at):
    for _ in range(2):
        assert claim_at(0, _ask()).verdict is claim.Verdict.GRANTED
    other = _holder("e2")
    assert claim_at(0, _ask(holder=other)).verdict is claim.Verdict.RUNNING
    assert claim_at(0, _ask(holder=other, body="c")).verdict is claim.Verdict.KEY_REUSED
    claim_at(0, _finish(_answer(b"no"), holder=other))
    claim_at(0, _abandon(holder=other))
    assert claim_at(0, _ask(holder=_holder("e3"))).verdict is claim.Verdict.RUNNING
    claim_at(0, _finish(_answer()))
    done = claim_at(0, _ask(holder=other))
    assert (done.verdict, done.answer) == (claim.Verdict.DONE, _answer())


def test_a_claim_with_an_unknown_outcome_never_runs_again(claim_at):
    claim_at(0, _ask())
    claim_at(0, _finish(None))
    assert claim_at(0, _ask(holder=_holder("e2"))).verdict is claim.Verdict.HOLDER_LOST


def test_answers_too_large_or_too_many_are_not_kept(claim_at):
    for text, body in (("a", b"123456789"), ("b", b"12345678"), ("c", b"12345")):
        claim_at(0, _ask(_key(text)))
        claim_at(0, _finish(_answer(body), _key(text)))
        if text == "a":
            assert claim_at(0, _ask(_key("a"))).verdict is claim.Verdict.ALREADY_RAN
    verdicts = [claim_at(0, _ask(_key(text), _holder("e2"))).verdict for text in "abc"]
    assert verdicts == [claim.Verdict.ALREADY_RAN, claim.Verdict.ALREADY_RAN, claim.Verdict.DONE]


def test_an_abandoned_claim_is_granted_to_others_but_not_to_its_late_request(claim_at):
    claim_at(0, _ask())
    claim_at(0, _abandon())
    assert claim_at(0, _ask()).verdict is claim.Verdict.HOLDER_LOST
    assert claim_at(0, _ask(holder=_holder("e2"))).verdict is claim.Verdict.GRANTED


def test_a_request_overtaken_by_its_abandon_is_not_granted(claim_at):
    claim_at(0, _abandon())
    assert claim_at(0, _ask()).verdict is claim.Verdict.HOLDER_LOST


def test_a_finished_claim_is_not_abandoned(claim_at):
    claim_at(0, _ask())
    claim_at(0, _finish(_answer()))
    claim_at(0, _abandon())
    assert claim_at(0, _ask()).verdict is claim.Verdict.DONE


def test_a_key_older_than_retention_is_refused_also_after_the_clock_steps_back(claim_at):
    key = _key(_id(10))
    assert claim_at(10, _ask(key)).verdict is claim.Verdict.GRANTED
    assert claim_at(1010, _ask(key, _holder("e2"))).verdict is claim.Verdict.KEY_EXPIRED
    assert claim_at(20, _ask(key, _holder("e2"))).verdict is claim.Verdict.KEY_EXPIRED


def test_a_key_from_a_fast_clock_never_outlives_its_claim(claim_at):
    key = _key(_id(90))
    assert claim_at(0, _ask(key)).verdict is claim.Verdict.GRANTED
    for at_ms in (1000, 1089):
        assert claim_at(at_ms, _ask(key, _holder("e2"))).verdict is claim.Verdict.RUNNING
    assert claim_at(1090, _ask(key, _holder("e2"))).verdict is claim.Verdict.KEY_EXPIRED
    far = _key(_id(1191))
    assert claim_at(1090, _ask(far)).verdict is claim.Verdict.KEY_EXPIRED


def test_a_full_table_refuses_and_never_evicts(claim_at):
    for text in "abcd":
        claim_at(0, _ask(_key(text)))
    assert claim_at(1499, _ask(_key("e"))).verdict is claim.Verdict.FULL
    for text in "abcd":
        assert claim_at(1499, _ask(_key(text), _holder("e2"))).verdict is claim.Verdict.RUNNING
    assert claim_at(1500, _ask(_key("e"))).verdict is claim.Verdict.GRANTED


def test_members_of_an_older_incarnation_change_nothing(apply, state):
    new, old = (
        member.Member("e1", incarnation, member.MemberState.SERVING, "", "")
        for incarnation in (2, 1)
    )
    apply(replicated_state.MembersChanged(0, (new,), ()))
    apply(replicated_state.MembersChanged(0, (old,), (old,)))
    assert state.member_by_id == {"e1": new}
    apply(replicated_state.MembersChanged(0, (), (new,)))
    assert state.member_by_id == {}


class _Log:
    """Sub-state that records its commands."""

    name = "log"

    def __init__(self):
        self.text = b""

    def apply(self, command, now_ms):
        if command == b"bad":
            raise errors.LinkError("It can't be decoded.", remedy="Send another.")
        self.text += command + b"@%d;" % now_ms
        return self.text

    def encode(self):
        return self.text

    def restore(self, state):
        self.text = state


def test_a_sub_state_is_applied_and_kept_in_snapshots():
    state = replicated_state.ReplicatedState(sub_states=(_Log(),))
    command = replicated_state.SubStateCommand(7, "log", b"x")
    assert state.apply(replicated_state.COMMANDS.pack(command)) == b"x@7;"
    copy_log = _Log()
    replicated_state.ReplicatedState(sub_states=(copy_log,)).restore(state.encode())
    assert copy_log.text == b"x@7;"


@pytest.mark.parametrize(("name", "command"), [("log", b"bad"), ("unknown", b"x")])
def test_a_command_that_a_sub_state_refuses_stops_no_replica(name, command):
    state = replicated_state.ReplicatedState(sub_states=(_Log(),))
    reply = state.apply(
        replicated_state.COMMANDS.pack(replicated_state.SubStateCommand(7, name, command))
    )
    assert isinstance(reply, replicated_state.SubStateRefused)


def test_bytes_that_are_no_snapshot_are_refused(state):
    with pytest.raises(errors.DamagedJournalError):
        state.restore(b"nonsense")


class _NaiveClaims:
    """Naive model of claims: one dictionary that is never cleaned and scanned where needed."""

    def __init__(self):
        self.rows = {}
        self.given_up = set()
        self.now = 0
        self.ends = 0

    def live(self, key):
        row = self.rows.get(key)
        return row if row and row["until"] > self.now else None

    def request(self, request):
        row = self.live(request.key)
        if row is None:
            return self.new(request), None
        if row["body"] != request.body_sha256:
            return claim.Verdict.KEY_REUSED, None
        if not row["end"]:
            same = row["holder"] == request.holder
            return claim.Verdict.GRANTED if same else claim.Verdict.RUNNING, None
        if row["answer"] is None:
            return claim.Verdict.HOLDER_LOST, None
        if not self.kept(row):
            return claim.Verdict.ALREADY_RAN, None
        return claim.Verdict.DONE, row["answer"]

    def new(self, request):
        if (request.key, request.holder) in self.given_up:
            return claim.Verdict.HOLDER_LOST
        key_ms = uuid7.time_ms(request.key.key)
        if key_ms is not None and not self.now - 1000 < key_ms <= self.now + 100:
            return claim.Verdict.KEY_EXPIRED
        if self.is_full(request.key.account):
            return claim.Verdict.FULL
        until = self.now + 1500 if key_ms is None else max(self.now, key_ms) + 1000
        row = {"holder": request.holder, "body": request.body_sha256, "until": until}
        self.rows[request.key] = row | {"end": 0, "answer": None, "lost": False}
        return claim.Verdict.GRANTED

    def is_full(self, account):
        """Return whether the quota is used up; 2 claims are reserved for each of two accounts."""
        counts = collections.Counter(key.account for key in self.rows if self.live(key))
        shared_left = 4 - sum(max(0, count - 2) for count in counts.values())
        mine = counts[account]
        return sum(counts.values()) >= 8 or (mine >= 2 and mine - 2 >= shared_left)

    def kept(self, row):
        return not row["lost"] and len(row["answer"].body) <= 8

    def finish(self, finished):
        row = self.live(finished.key)
        if row is None or row["end"] or row["holder"] != finished.holder:
            return
        self.ends += 1
        row["end"], row["answer"] = self.ends, finished.answer
        held = [r for k, r in self.rows.items() if self.live(k) and r["answer"] and self.kept(r)]
        held.sort(key=lambda r: r["end"])
        while sum(len(r["answer"].body) for r in held) > 12 or len(held) > 3:
            held.pop(0)["lost"] = True

    def abandon(self, abandoned):
        row = self.live(abandoned.key)
        if row is not None and row["holder"] == abandoned.holder and not row["end"]:
            del self.rows[abandoned.key]
        self.given_up.add((abandoned.key, abandoned.holder))


_KEYS = strategies.sampled_from(
    [_key(t) for t in "abcde"]
    + [_key(t, "b") for t in "abc"]
    + [_key("a", account) for account in "cd"]
    + [_key(_id(ms)) for ms in (0, 60, 400)]
)
_HOLDERS = strategies.builds(
    _holder, strategies.sampled_from(("e1", "e2")), strategies.sampled_from(("r1", "r2"))
)
_ANSWERS = strategies.none() | strategies.binary(max_size=9).map(_answer)
_OPERATIONS = strategies.one_of(
    strategies.builds(_ask, _KEYS, _HOLDERS, strategies.sampled_from("bc")),
    strategies.builds(_finish, _ANSWERS, _KEYS, _HOLDERS),
    strategies.builds(_abandon, _KEYS, _HOLDERS),
)
_STEPS = strategies.tuples(strategies.integers(-100, 500), _OPERATIONS, strategies.booleans())


@hypothesis.given(strategies.lists(_STEPS, max_size=30))
@hypothesis.settings(max_examples=200)
def test_claims_agree_with_the_naive_version(steps):
    state = replicated_state.ReplicatedState(claim_limits=_LIMITS)
    naive = _NaiveClaims()
    clock = 0
    for step, operation, restart in steps:
        clock = max(0, clock + step)
        naive.now = max(naive.now, clock)
        if restart:
            encoded = state.encode()
            state = replicated_state.ReplicatedState(claim_limits=_LIMITS)
            state.restore(encoded)
        batch = replicated_state.ClaimBatch(clock, (operation,))
        (reply,) = state.apply(replicated_state.COMMANDS.pack(batch))
        if operation.request:
            assert (reply.verdict, reply.answer) == naive.request(operation.request)
        elif operation.finish:
            naive.finish(operation.finish)
        else:
            naive.abandon(operation.abandon)


_CHANGES = strategies.tuples(
    strategies.integers(0, 14), strategies.integers(-3, 1), strategies.integers(0, 400)
)


@hypothesis.given(strategies.lists(_CHANGES, max_size=40))
@hypothesis.settings(max_examples=200)
def test_changes_agree_with_the_naive_version(steps):
    """The naive model remembers every answer; only answers to evicted ids may differ."""
    state = replicated_state.ReplicatedState(change_limits=_CHANGE_LIMITS)
    answer_by_id = {}
    accepted = []
    clock = 0
    for number, behind, step in steps:
        clock += step
        base = max(0, len(accepted) + behind)
        change = _change(_id(number * 10, number), base, at_ms=clock)
        answer = state.apply(replicated_state.COMMANDS.pack(change))
        first = answer_by_id.get(change.change_id)
        if first is not None:
            same = first[1] == base
            if answer.code is not errors.Code.CHANGE_TOO_OLD:
                assert answer == first[0] if same else answer.code is errors.Code.KEY_REUSED
        elif answer.code not in (errors.Code.CHANGE_TOO_OLD, errors.Code.BAD_REQUEST):
            if base == len(accepted):
                accepted.append(change.change_id)
                assert dataclasses.astuple(answer)[1:] == (len(accepted), None, None)
            else:
                assert answer.code is errors.Code.CHANGE_CONFLICT
            answer_by_id[change.change_id] = (answer, base)
        assert state.current.revision == len(accepted)
