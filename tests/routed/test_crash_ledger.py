"""Which requests are held because upstreams crashed while they ran them, and which are cleared."""

import itertools
import math
import random

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork.quarantine import crash_ledger, crash_messages

KEY = "a1b2c3-request"
Verdict = crash_ledger.Verdict


@pytest.fixture
def ledger():
    return crash_ledger.CrashLedger()


def record_crashes(ledger, count, *, key=KEY, at=0.0):
    for number in range(count):
        ledger.record_crash(key, f"u-{number}@{at}", at, at)


@pytest.mark.parametrize(
    ("ends", "verdict", "trial_in_s"),
    [
        (0, Verdict.FREE, 0.0),
        (1, Verdict.FREE, 0.0),
        (2, Verdict.TRIAL, 0.0),
        (3, Verdict.HELD, 30.0),
        (4, Verdict.HELD, 300.0),
        (5, Verdict.HELD, math.inf),
    ],
)
def test_a_request_runs_freely_then_one_at_a_time_then_not(ledger, ends, verdict, trial_in_s):
    record_crashes(ledger, ends)
    standing = ledger.standing(KEY, 0.0)
    assert (standing.verdict, standing.trial_in_s) == (verdict, trial_in_s)


def test_a_held_request_reaches_at_most_two_more_upstreams(ledger):
    runs = []
    for second in range(3000):
        if ledger.standing(KEY, float(second)).verdict is not Verdict.HELD:
            runs.append(second)
            ledger.record_crash(KEY, f"u-{second}", float(second), float(second))
    assert len(runs) == 5
    assert runs[:3] == [0, 1, 2]


def test_an_upstream_that_breaks_connections_and_keeps_running_counts_once(ledger):
    for second in range(9):
        ledger.record_crash(KEY, "u-1", float(second), float(second))
    assert ledger.standing(KEY, 9.0).verdict is Verdict.FREE


def test_an_answer_clears_a_request_of_the_crashes_around_it(ledger):
    """A third of the upstreams is killed at once while many callers send one request."""
    record_crashes(ledger, 4, at=100.0)
    assert ledger.standing(KEY, 100.0).verdict is Verdict.HELD
    assert ledger.record_completion(KEY, 98.0, 100.1)
    assert ledger.standing(KEY, 100.1).verdict is Verdict.FREE
    record_crashes(ledger, 3, at=107.0)
    assert ledger.standing(KEY, 107.0).verdict is Verdict.FREE


def test_an_old_answer_clears_no_crash(ledger):
    record_crashes(ledger, 3, at=100.0)
    assert not ledger.record_completion(KEY, 100.0 - crash_ledger.EXONERATION_S - 0.1, 100.0)
    assert ledger.standing(KEY, 100.0).verdict is Verdict.HELD


def test_a_case_is_evicted_an_hour_after_its_last_crash(ledger):
    record_crashes(ledger, 5)
    ledger.tidy(crash_ledger.CASE_RETENTION_S - 1.0)
    assert ledger.standing(KEY, 0.0).verdict is Verdict.HELD
    ledger.tidy(crash_ledger.CASE_RETENTION_S + 1.0)
    assert len(ledger) == 0


def test_an_account_with_many_cases_evicts_no_case_of_another(ledger):
    record_crashes(ledger, 3, key="000000-others")
    for number in range(3 * crash_ledger.MAX_CASES):
        ledger.record_crash(f"ffffff-{number}", "u-1", 0.0, 0.0)
    assert len(ledger) == crash_ledger.MAX_CASES
    assert ledger.standing("000000-others", 0.0).verdict is Verdict.HELD


def test_a_report_of_a_report_is_no_update(ledger):
    record_crashes(ledger, 3, at=50.0)
    ledger.record_completion("none", 1.0, 50.0)
    other = crash_ledger.CrashLedger()
    assert other.merge(ledger.report(ledger.known(), 60.0), 1060.2) == (KEY,)
    assert other.standing(KEY, 1060.2).verdict is Verdict.HELD
    assert ledger.merge(other.report(other.known(), 1061.0), 61.3) == ()


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("k-1", "k-2")),
        strategies.integers(0, 5),
        strategies.floats(0.0, 100.0, allow_nan=False),
    ),
    max_size=12,
)
"""Crashes of upstreams 1 to 5, and completions as 0, with their ages."""


def _make_report(event):
    key, number, ago_s = event
    if number == 0:
        return crash_messages.CrashReport((crash_messages.CrashCase(key, (), ago_s),))
    end = crash_messages.UpstreamCrash(f"u-{number}", ago_s)
    return crash_messages.CrashReport((crash_messages.CrashCase(key, (end,)),))


@hypothesis.given(EVENTS, strategies.randoms(use_true_random=False))
def test_crash_ledgers_with_the_same_reports_agree_in_any_order(events, random):
    events = list({(key, number): (key, number, ago) for key, number, ago in events}.values())
    shuffled = [*events, *random.sample(events, len(events) // 2)]
    random.shuffle(shuffled)
    first, second = crash_ledger.CrashLedger(), crash_ledger.CrashLedger()
    for event in events:
        first.merge(_make_report(event), 200.0)
    for event in shuffled:
        second.merge(_make_report(event), 200.0)
    for key in ("k-1", "k-2"):
        assert set(first.ends(key)) == set(second.ends(key))
        assert first.standing(key, 200.0) == second.standing(key, 200.0)


# Guards against: a crash that two hosts saw at different times, which a ledger dated by the report
# that it merged first; an answer in between cleared it at some ledgers only.
@hypothesis.given(EVENTS, strategies.randoms(use_true_random=False))
@hypothesis.example([("k-1", 1, 20.0), ("k-1", 1, 5.0), ("k-1", 0, 20.0)], random.Random(0))
def test_crash_ledgers_that_hear_of_a_crash_twice_agree_in_any_order(events, source):
    shuffled = source.sample(events, len(events))
    ledgers = []
    for order in (events, events[::-1], shuffled):
        ledger = crash_ledger.CrashLedger()
        for event in order:
            ledger.merge(_make_report(event), 200.0)
        ledgers.append(ledger)
    for key in ("k-1", "k-2"):
        ends = [set(ledger.ends(key)) for ledger in ledgers]
        assert ends == ends[:1] * len(ledgers)
        standings = {ledger.standing(key, 200.0) for ledger in ledgers}
        assert len(standings) == 1


@hypothesis.given(EVENTS)
def test_crash_ledgers_that_exchange_reports_converge(events):
    ledgers = [crash_ledger.CrashLedger() for _ in range(3)]
    for ledger, event in zip(itertools.cycle(ledgers), events, strict=False):
        ledger.merge(_make_report(event), 200.0)
    for _ in range(3):
        for sender, receiver in itertools.permutations(ledgers, 2):
            receiver.merge(sender.report(sender.known(), 200.0), 200.0)
    for sender, receiver in itertools.permutations(ledgers, 2):
        assert receiver.merge(sender.report(sender.known(), 200.0), 200.0) == ()
        for key in ("k-1", "k-2"):
            assert set(sender.ends(key)) == set(receiver.ends(key))
