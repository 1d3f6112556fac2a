"""How requests to upstreams with a rate limit are paced."""

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.placement import limit_share, placement_messages

WINDOW_S = 4.0
SHARD = placement_messages.Shard("engines")
HOSTS = frozenset(f"e-{number}" for number in range(9))


@pytest.fixture
def ledger():
    return signal_ledger.SignalLedger()


@pytest.fixture
def gate(ledger):
    return send_gate.SendGate(ledger)


def send_when_open(gate, times, share=1.0):
    """Send at each of these times at which the gate is open; return the times of sending."""
    sent = []
    for now in times:
        if gate.wait_s("u-1", "e-0", now, share) <= 0:
            gate.record_send("u-1", now, share)
            sent.append(now)
    return sent


def most_in_window(sent):
    return max((sum(at <= one < at + WINDOW_S for one in sent) for at in sent), default=0)


@hypothesis.given(
    rate=st.floats(0.1, 50.0), gaps=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=400)
)
@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
def test_no_window_exceeds_the_limit_and_the_burst(rate, gaps):
    ledger = signal_ledger.SignalLedger()
    gate = send_gate.SendGate(ledger)
    ledger.record_response("u-1", rate, sent_at=0.0, now=0.0)
    times, now = [], 0.0
    for gap in gaps:
        now += gap
        times.append(now)
    sent = send_when_open(gate, times)
    assert most_in_window(sent) <= rate * (WINDOW_S + send_gate.BURST_S) + 1


def test_a_limit_is_fully_used(ledger, gate):
    ledger.record_response("u-1", 7.0, sent_at=0.0, now=0.0)
    sent = send_when_open(gate, [number / 100 for number in range(1000)])
    assert 68 <= len(sent) <= 71


def test_a_limit_of_zero_is_probed_occasionally(ledger, gate):
    ledger.record_response("u-1", 0.0, sent_at=0.0, now=0.0)
    sent = send_when_open(gate, [number / 10 for number in range(600)])
    assert len(sent) == pytest.approx(60 * send_gate.MIN_RATE, abs=1)


def test_a_raised_limit_applies_immediately(ledger, gate):
    ledger.record_response("u-1", 0.0, sent_at=0.0, now=0.0)
    send_when_open(gate, [10.0])
    ledger.record_response("u-1", 10.0, sent_at=10.0, now=11.0)
    assert gate.wait_s("u-1", "e-0", 11.0) <= 0.1
    assert gate.wait_s("u-1", "e-0", 11.1) <= 0.0


def test_a_limit_that_ends_holds_nothing_back(ledger, gate):
    ledger.record_response("u-1", 1.0, sent_at=0.0, now=0.0)
    assert gate.wait_s("u-1", "e-0", 0.1) > 0
    ledger.record_response("u-1", None, sent_at=0.3, now=0.4)
    assert gate.wait_s("u-1", "e-0", 0.4) == 0
    gate.evict_unlimited()
    assert not gate._due_at_by_upstream


@pytest.fixture
def make_share():
    def make(chosen, others=()):
        shares = limit_share.LimitShare()
        shares.use_entries(HOSTS, len(HOSTS))
        for entry_id in (*chosen, *others):
            is_chosen = entry_id in chosen
            shares.record_choice(SHARD, entry_id, is_chosen=is_chosen, now=0.0)
        return shares

    return make


def test_an_owner_that_all_ask_uses_the_full_limit(make_share):
    assert make_share(HOSTS).share(SHARD, 1.0) == 1.0


def test_an_owner_that_few_have_asked_uses_the_full_limit_after_a_while(make_share):
    shares = make_share({"e-0"})
    assert shares.share(SHARD, 1.0) == pytest.approx(1 / 9)
    assert shares.share(SHARD, limit_share.TAKEOVER_S) == 1.0


@hypothesis.given(split=st.integers(0, len(HOSTS)), now=st.floats(0.0, 60.0))
@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
def test_two_owners_keep_to_one_limit_together(split, now):
    """Hosts on two sides of a partition ask two owners: each owner uses its hosts' share."""
    ordered = sorted(HOSTS)
    sides = frozenset(ordered[:split]), frozenset(ordered[split:])
    total = 0.0
    for own in sides:
        shares = limit_share.LimitShare()
        shares.use_entries(own, len(HOSTS))
        for entry_id in own:
            shares.record_choice(SHARD, entry_id, is_chosen=True, now=0.0)
        total += shares.share(SHARD, now) if own else 0.0
    assert total == pytest.approx(1.0)


def test_an_owner_that_hosts_have_left_releases_their_share(make_share):
    shares = make_share(HOSTS - {"e-1", "e-2", "e-3"}, {"e-1", "e-2", "e-3"})
    assert shares.share(SHARD, 30.0) == pytest.approx(6 / 9)
