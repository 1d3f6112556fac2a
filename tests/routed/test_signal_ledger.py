"""Ledgers of backpressure signals agree in whatever order they merge reports."""

import itertools
import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork.backpressure import signal_ledger, signal_messages, upstream_signals

WORDS = st.lists(
    st.tuples(
        st.sampled_from(["u-1", "u-2"]),
        st.one_of(st.none(), st.sampled_from([0.0, 1.0, 6.9])),
        st.floats(0.0, 5.0),
    ),
    max_size=12,
)


@pytest.fixture
def ledger():
    return signal_ledger.SignalLedger()


def test_a_limit_ends_with_an_answer_that_names_none(ledger):
    assert ledger.record_response("u-1", 2.0, sent_at=0.0, now=1.0)
    assert ledger.rate("u-1") == 2.0
    assert ledger.record_response("u-1", None, sent_at=1.5, now=2.0)
    assert ledger.rate("u-1") is None


def test_a_response_that_was_overtaken_ends_no_limit(ledger):
    ledger.record_response("u-1", 2.0, sent_at=0.0, now=1.0)
    assert not ledger.record_response("u-1", None, sent_at=0.9, now=1.2)
    assert ledger.rate("u-1") == 2.0


def test_a_delayed_report_ends_no_limit_that_was_stated_meanwhile(ledger):
    """Its age counts from its arrival, so it seems newer by the time that it was in transit."""
    slow = signal_ledger.SignalLedger()
    slow.record_response("u-1", 2.0, sent_at=0.0, now=1.0)
    slow.record_response("u-1", None, sent_at=5.0, now=5.05)
    ended = slow.report(("u-1",), 5.05)
    ledger.record_response("u-1", 2.0, sent_at=5.0, now=5.1)
    ledger.merge(ended, 5.25)
    assert ledger.rate("u-1") == 2.0


def test_an_upstream_without_limit_is_not_stored(ledger):
    assert not ledger.record_response("u-1", None, sent_at=0.0, now=1.0)
    assert ledger.is_empty


def test_a_late_report_does_not_revive_an_ended_limit(ledger):
    other = signal_ledger.SignalLedger()
    other.record_response("u-1", 2.0, sent_at=0.0, now=1.0)
    late = other.report(("u-1",), 1.0)
    ledger.merge(late, 1.0)
    ledger.record_response("u-1", None, sent_at=2.0, now=2.5)
    delay_s = 3.0
    aged = signal_messages.SignalReport(
        tuple(
            signal_messages.RateLimit(limit.upstream_id, limit.rate, 3.0) for limit in late.limits
        )
    )
    merged = ledger.merge(aged, 1.0 + delay_s)
    assert merged.outdated == ("u-1",)
    assert ledger.rate("u-1") is None


def test_a_small_change_of_a_limit_is_no_update(ledger):
    ledger.record_response("u-1", 6.9, sent_at=0.0, now=1.0)
    assert not ledger.record_response("u-1", 6.8, sent_at=1.0, now=2.0)
    assert ledger.record_response("u-1", 3.0, sent_at=2.0, now=3.0)


def test_a_lasting_limit_is_reported_again_before_others_evict_it(ledger):
    """Only its host's ledger kept a limit that was still stated; the placement owner evicted it."""
    other = signal_ledger.SignalLedger()
    for minute in range(40):
        now = 60.0 * minute + 1.0
        if ledger.record_response("u-1", 2.0, sent_at=now - 1.0, now=now):
            other.merge(ledger.report(("u-1",), now), now)
        other.tidy(now)
        assert other.rate("u-1") == 2.0


def test_signals_are_evicted_with_their_upstreams(ledger):
    ledger.record_response("u-1", 6.9, sent_at=0.0, now=1.0)
    ledger.tidy(1.0 + signal_ledger.LIMIT_RETENTION_S)
    assert not ledger.is_empty
    ledger.tidy(1.1 + signal_ledger.LIMIT_RETENTION_S)
    assert ledger.is_empty


def test_the_number_of_limits_is_bounded(ledger):
    for number in range(signal_ledger.MAX_LIMITS + 5):
        ledger.record_response(f"u-{number}", 1.0, sent_at=0.0, now=float(number))
    assert ledger.limited == signal_ledger.MAX_LIMITS


@hypothesis.given(WORDS, st.randoms())
@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
def test_ledgers_that_heard_the_same_agree(words, random):
    """Told in any order, repeated, they hold of each upstream what was known last."""
    reports = [
        signal_messages.SignalReport((signal_messages.RateLimit(name, rate, 10.0 - at),))
        for name, rate, at in words
    ]
    ledgers = signal_ledger.SignalLedger(), signal_ledger.SignalLedger()
    for ledger in ledgers:
        for report in reports:
            ledger.merge(report, 10.0)
        random.shuffle(reports)
    for _ in range(2):
        for one, other in (ledgers, ledgers[::-1]):
            one.merge(other.report(other.known(), 10.0), 10.0)
    latest = {}
    for name, rate, at in sorted(words, key=lambda word: word[2]):
        latest.setdefault((name, at), set()).add(rate)
    for name in ("u-1", "u-2"):
        times = [at for word, at in latest if word == name]
        if times and len(latest[name, max(times)]) == 1:
            (expected,) = latest[name, max(times)]
            assert [ledger.rate(name) for ledger in ledgers] == [expected, expected]


def _strictness(rate):
    return -math.inf if rate is None else -rate


def _merge_all(reports, now):
    ledger = signal_ledger.SignalLedger()
    for report in reports:
        ledger.merge(report, now)
    return ledger


# Guards against: ledgers that hold different limits for good, since each kept the signal that it
# merged first of those whose ages are equal.
@hypothesis.given(WORDS, st.randoms())
@hypothesis.example([("u-2", None, 0.0), ("u-2", 0.0, 1.518e-55)], random.Random(0))
@hypothesis.example([("u-2", 1.0, 3.0), ("u-2", 6.9, 3.0)], random.Random(0))
@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
def test_ledgers_agree_on_signals_of_one_moment(words, source):
    """Of signals with equal ages, the one with the lowest limit holds at every ledger."""
    limits = [signal_messages.RateLimit(name, rate, 10.0 - at) for name, rate, at in words]
    reports = [signal_messages.SignalReport((limit,)) for limit in limits]
    shuffled = reports[:]
    source.shuffle(shuffled)
    ledgers = [_merge_all(order, 10.0) for order in (reports, reports[::-1], shuffled)]
    for name in ("u-1", "u-2"):
        named = [limit for limit in limits if limit.upstream_id == name]
        latest = max(named, key=lambda limit: (-limit.ago_s, _strictness(limit.rate)), default=None)
        expected = None if latest is None else latest.rate
        assert [ledger.rate(name) for ledger in ledgers] == [expected] * len(ledgers)


def test_the_latest_of_similar_limits_holds_in_any_order():
    reports = [
        signal_messages.SignalReport((signal_messages.RateLimit("u-1", rate, ago_s),))
        for rate, ago_s in [(2.0, 3.0), (2.05, 2.0), (2.1, 1.0)]
    ]
    for order in itertools.permutations(reports):
        assert _merge_all(order, 10.0).rate("u-1") == 2.1


def test_a_limit_that_changes_in_small_steps_is_an_update_in_the_end(ledger):
    updates = [
        ledger.record_response("u-1", 2.0 + 0.04 * step, sent_at=step, now=step + 1.0)
        for step in range(4)
    ]
    assert updates == [True, False, False, True]


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        (("6.9", "", ""), upstream_signals.UpstreamSignals(6.9)),
        (("0", "1", "0.25"), upstream_signals.UpstreamSignals(0.0, True, 0.25)),
        (("", " 1 ", ""), upstream_signals.UpstreamSignals(None, True)),
        (("nan", "0", "inf"), upstream_signals.UpstreamSignals()),
        (("-1", "yes", "-3"), upstream_signals.UpstreamSignals()),
        (("many", "", "Thu, 03 Dec 2026 08:00:00 GMT"), upstream_signals.UpstreamSignals()),
        (("", "", "1e9"), upstream_signals.UpstreamSignals(pause_s=3600.0)),
    ],
)
def test_valid_headers_are_parsed_and_invalid_ones_are_ignored(headers, expected):
    assert upstream_signals.parse(*headers) == expected
