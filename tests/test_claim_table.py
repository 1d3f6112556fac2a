"""Tests of the claim table: quotas, retention and snapshots."""

import dataclasses
import random

import msgspec
import pytest

from medlarfork import claim, uuid7
from medlarfork.control import _claim_quotas, _claim_table

_Verdict = claim.Verdict


def _key(text, account="a"):
    return claim.ClaimKey(account, text)


def _holder(request_id="r"):
    return claim.Holder("e1", 1, request_id)


def _dated(ms, number=0):
    return uuid7.make(ms, random.Random(number).randbytes(uuid7.RANDOM_BYTES))


def _request(table, key, now_ms=0, holder=None):
    return table.request(claim.ClaimRequest(key, holder or _holder(), "b"), now_ms).verdict


def _fill(table, account, now_ms=0, first=0):
    """Add claims until one is refused and return how many were granted."""
    granted = 0
    while _request(table, _key(f"{first + granted}", account), now_ms) is _Verdict.GRANTED:
        granted += 1
    return granted


def _copy(table, limits):
    """Return the table restored from its own snapshot."""
    encoded = msgspec.msgpack.encode(table.state())
    state = msgspec.msgpack.decode(encoded, type=_claim_table.ClaimTableState)
    return _claim_table.ClaimTable(limits, state)


@pytest.fixture
def limits():
    return _claim_table.ClaimLimits(
        retention_ms=1000, claims=800, undated_retention_ms=5000, accounts=4, answers=2
    )


@pytest.fixture
def table(limits):
    return _claim_table.ClaimTable(limits)


def test_an_account_that_takes_all_it_can_leaves_room_for_each_of_the_others(table):
    granted = [_fill(table, account) for account in "abcd"]
    # Its reservation of 100, then half of what is left of the shared 400.
    assert granted == [300, 200, 150, 125]
    assert len(table) < 800


def test_the_reservation_of_a_quiet_account_is_never_used_by_others(table):
    for account in "abc":
        _fill(table, account)
    for round_ in range(3):
        for account in "abc":
            for number in range(50):
                abandoned_key = _key(str(number + round_ * 50), account)
                table.abandon(claim.ClaimAbandon(abandoned_key, _holder()), 0)
            _fill(table, account, first=1000 * (round_ + 1))
    assert _fill(table, "quiet") >= 100


def test_expired_claims_free_the_quota(table):
    assert _fill(table, "a", 0) == 300
    table.expire(5000)
    assert len(table) == 0
    assert _fill(table, "b", 5000) == 300


def test_more_accounts_than_reservations_never_exceed_the_limit(table):
    total = sum(_fill(table, f"account {number}") for number in range(20))
    assert total == len(table) == 800


def test_account_numbers_are_reused_the_lowest_first():
    quotas = _claim_quotas.ClaimQuotas(claims=10, accounts=1)
    for name in "abc":
        quotas.add(quotas.assign_number(name))
    for number in (2, 0):
        quotas.remove(number)
    assert quotas.names == ("", "b", "")
    copy = _claim_quotas.ClaimQuotas(claims=10, accounts=1, names=quotas.names)
    copy.add(1)
    assert [item.assign_number("d") for item in (quotas, copy)] == [0, 0]


def test_a_dated_key_is_refused_after_retention_and_an_undated_one_runs_again(table):
    dated, undated = _key(_dated(0)), _key("k")
    assert {_request(table, key) for key in (dated, undated)} == {_Verdict.GRANTED}
    for now_ms, key, verdict in (
        (999, dated, _Verdict.RUNNING),
        (1000, dated, _Verdict.KEY_EXPIRED),
        (4999, undated, _Verdict.RUNNING),
        (5000, undated, _Verdict.GRANTED),
        (5000, dated, _Verdict.KEY_EXPIRED),
    ):
        table.expire(now_ms)
        assert _request(table, key, now_ms, _holder("r2")) is verdict, now_ms


def test_an_expired_key_stays_refused_after_retention_is_lengthened(table, limits):
    key = _key(_dated(10))
    assert _request(table, key, 10) is _Verdict.GRANTED
    table.expire(1500)
    assert len(table) == 0
    longer = dataclasses.replace(limits, retention_ms=100_000)
    assert _request(_copy(table, longer), key, 1500) is _Verdict.KEY_EXPIRED
    assert _request(_copy(table, longer), _key(_dated(600)), 1500) is _Verdict.GRANTED


def test_a_claim_granted_again_is_not_removed_when_its_first_grant_would_have_expired(table):
    key = _key("k")
    _request(table, key, 0)
    table.abandon(claim.ClaimAbandon(key, _holder()), 0)
    assert _request(table, key, 3000, _holder("again")) is _Verdict.GRANTED
    table.expire(5000)
    assert _request(table, key, 5000, _holder("third")) is _Verdict.RUNNING


def test_a_claim_expires_on_time_although_its_expiry_step_has_not_passed():
    limits = _claim_table.ClaimLimits(retention_ms=10**6, undated_retention_ms=10**6)
    table = _claim_table.ClaimTable(limits)
    _request(table, _key("k"), 0)
    for now_ms, verdict in ((10**6 - 1, _Verdict.RUNNING), (10**6, _Verdict.GRANTED)):
        table.expire(now_ms)
        assert len(table) == 1
        assert _request(table, _key("k"), now_ms, _holder("r2")) is verdict


def test_the_number_of_answers_is_bounded_also_if_they_are_empty(table):
    empty = claim.StoredAnswer(204, "", b"")
    for text in "xyz":
        _request(table, _key(text))
        table.finish(claim.ClaimFinish(_key(text), _holder(), empty), 0)
    verdicts = [_request(table, _key(text), holder=_holder("r2")) for text in "xyz"]
    assert verdicts == [_Verdict.ALREADY_RAN, _Verdict.DONE, _Verdict.DONE]


def test_a_table_restored_from_a_snapshot_behaves_like_the_original(table, limits):
    """Each call expires a bounded number, so both must remove the same claims first."""
    limits = _claim_table.ClaimLimits(retention_ms=10**6, claims=10_000, accounts=4)
    table = _claim_table.ClaimTable(limits)
    generator = random.Random(1)
    for number in range(1500):
        key = _key(_dated(number // 50, number), generator.choice("abc"))
        _request(table, key)
        if number % 7 == 0:
            table.abandon(claim.ClaimAbandon(key, _holder()), 0)
            _request(table, key, holder=_holder("again"))
        elif number % 3:
            answer = claim.StoredAnswer(200, "", b"x" * 100)
            table.finish(claim.ClaimFinish(key, _holder(), answer), 0)
    copy = _copy(table, limits)
    for now_ms in (0, 1_000_000, 2_000_000, 2_000_000):
        for one in (table, copy):
            one.expire(now_ms)
            _request(one, _key("new", "d"), now_ms)
        assert copy.state() == table.state()
    assert len(table) == 1


def test_a_snapshot_of_the_previous_version_is_restored():
    entry = _claim_table.ClaimEntry
    answers = [claim.StoredAnswer(200, "", body) for body in (b"one", b"two")]
    dropped = claim.StoredAnswer(200, "", b"", kept=False)
    entries = (
        entry(_key("running"), _holder(), "b", 5000),
        entry(_key("lost"), _holder(), "b", 5000, finished=True),
        entry(_key("ran"), _holder(), "b", 5000, True, dropped),
        entry(_key("first"), _holder(), "b", 5000, True, answers[0]),
        entry(_key("second"), _holder(), "b", 5000, True, answers[1]),
    )
    answered = (_key("second"), _key("first"))
    state = _claim_table.ClaimTableState(entries, answered, ())
    encoded = msgspec.msgpack.encode(state)
    decoded = msgspec.msgpack.decode(encoded, type=_claim_table.ClaimTableState)
    limits = _claim_table.ClaimLimits(answers=1)
    table = _claim_table.ClaimTable(limits, decoded)
    verdicts = [_request(table, item.key, holder=_holder("r2")) for item in entries]
    assert verdicts == ["running", "holder_lost", "already_ran", "done", "already_ran"]
    assert table.holder_of(_key("running")) == _holder()
    table.expire(5000 + limits.retention_ms)
    assert len(table) == 0


def test_the_previous_version_rejects_a_packed_snapshot(table):
    """Otherwise it would start without claims, and grant them again."""

    class Previous(msgspec.Struct):
        entries: tuple[_claim_table.ClaimEntry, ...] = ()

    _request(table, _key("k"))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(table.state()), type=Previous)
