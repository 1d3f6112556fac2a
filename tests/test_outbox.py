"""Tests of resending until a message is confirmed, times out or is dropped for newer ones."""

from medlarfork.entry import _outbox


def _sent(outbox, now):
    return [pending.message for pending in outbox.collect_due(now)]


def test_a_message_is_resent_with_backoff_until_it_is_confirmed():
    outbox = _outbox.Outbox(limit=10, timeout_s=60.0)
    outbox.put("a", "control", "hello", 0.0)
    times = []
    while len(times) < 6:
        times.append(outbox.earliest())
        assert _sent(outbox, times[-1]) == ["hello"]
    assert times == [0.5, 1.5, 3.5, 7.5, 11.5, 15.5]
    outbox.confirm("a")
    assert outbox.earliest() == float("inf")
    assert _sent(outbox, 100.0) == []


def test_a_message_put_twice_is_resent_once():
    outbox = _outbox.Outbox(limit=10, timeout_s=60.0)
    outbox.put("a", "", "old", 0.0)
    outbox.put("a", "", "new", 0.1)
    assert _sent(outbox, 1.0) == ["new"]
    assert _sent(outbox, 1.0) == []


def test_a_message_is_dropped_after_its_timeout():
    outbox = _outbox.Outbox(limit=10, timeout_s=1.0)
    outbox.put("a", "", "hello", 0.0)
    assert _sent(outbox, 1.0) == []
    assert (len(outbox), outbox.dropped, "a" in outbox) == (0, 1, False)


def test_beyond_the_limit_the_oldest_is_dropped():
    outbox = _outbox.Outbox(limit=2, timeout_s=60.0)
    for key in "abc":
        outbox.put(key, "", key, 0.0)
    assert _sent(outbox, 1.0) == ["b", "c"]
    assert outbox.dropped == 1


def test_the_work_of_one_call_is_bounded():
    outbox = _outbox.Outbox(limit=1000, timeout_s=60.0)
    for number in range(600):
        outbox.put(number, "", number, 0.0)
    rounds = [len(_sent(outbox, 1.0)) for _ in range(4)]
    assert sum(rounds) == 600
    assert max(rounds) == rounds[0] < 600
