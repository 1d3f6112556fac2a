"""The budget for what clients send, against any order of what they do."""

import hypothesis
import hypothesis.stateful
from hypothesis import strategies as st

from medlarfork.http import receive_budget

READ = receive_budget.READ_BYTES
CONNECTIONS = 40
LIMIT = 64 * READ
"""More than the small holdings of all connections and one read beyond the share of requests."""


class Machine(hypothesis.stateful.RuleBasedStateMachine):
    """Connections that read when there is room, and that release what they hold once evicted."""

    def __init__(self):
        super().__init__()
        self.budget = receive_budget.ReceiveBudget(LIMIT)
        self.evicted = []
        self.holdings = []
        for _ in range(CONNECTIONS):
            self._open()

    def _open(self):
        holding = receive_budget.Holding(lambda: self.evicted.append(holding))
        self.holdings.append(holding)

    def _arriving(self, number):
        holding = self.holdings[number % CONNECTIONS]
        return None if holding.is_served or holding.is_evicted else holding

    @hypothesis.stateful.rule(number=st.integers(0, 1000), size=st.integers(1, READ))
    def read(self, number, size):
        holding = self._arriving(number)
        if holding is not None and self.budget.make_room() and not holding.is_evicted:
            self.budget.record_received(holding, size)
            self.budget.resize(holding, holding.size + size)

    @hypothesis.stateful.rule(number=st.integers(0, 1000))
    def complete(self, number):
        holding = self._arriving(number)
        if holding is not None and not self.budget.try_serve(holding):
            self.budget.release(holding)

    @hypothesis.stateful.rule(number=st.integers(0, 1000))
    def close(self, number):
        holding = self.holdings[number % CONNECTIONS]
        self.budget.release(holding)
        self.holdings.remove(holding)
        self._open()

    @hypothesis.stateful.rule()
    def leave(self):
        """Let the evicted connections end."""
        for holding in self.evicted:
            self.budget.release(holding)
            if holding in self.holdings:
                self.holdings.remove(holding)
                self._open()
        self.evicted.clear()

    @hypothesis.stateful.rule()
    def read_once_the_evicted_have_left(self):
        self.budget.make_room()
        self.leave()
        assert self.budget.has_room

    @hypothesis.stateful.invariant()
    def is_within_its_limit(self):
        assert self.budget.held_bytes <= LIMIT
        assert self.budget.held_bytes == sum(holding.size for holding in self.holdings)
        served = [holding.size for holding in self.holdings if holding.is_served]
        assert self.budget.served_bytes == sum(served)
        assert sum(served) <= receive_budget.SMALL_SERVED_SHARE * LIMIT or len(served) == 1


Machine.TestCase.settings = hypothesis.settings(max_examples=150, stateful_step_count=80)
TestReceiveBudget = Machine.TestCase


def _holding(budget, size):
    evicted = []
    holding = receive_budget.Holding(lambda: evicted.append(True))
    budget.resize(holding, size)
    return holding, evicted


# Guards against: a caller whose body arrives evicted instead of one that stands still.
def test_the_one_without_progress_for_longest_is_evicted_first():
    budget = receive_budget.ReceiveBudget(10 * READ)
    old, old_evicted = _holding(budget, 4 * READ)
    stalled, stalled_evicted = _holding(budget, 4 * READ)
    budget.record_received(old, receive_budget.PROGRESS_BYTES)
    _holding(budget, 2 * READ)
    assert not budget.make_room()
    assert (old_evicted, stalled_evicted) == ([], [True])
    budget.release(stalled)
    assert budget.has_room


# Guards against: single bytes now and then that keep a connection from being evicted.
def test_single_bytes_are_no_progress():
    budget = receive_budget.ReceiveBudget(10 * READ)
    slow, slow_evicted = _holding(budget, 4 * READ)
    _, other_evicted = _holding(budget, 6 * READ)
    for _ in range(100):
        budget.record_received(slow, 1)
    budget.make_room()
    assert (slow_evicted, other_evicted) == ([True], [])


# Guards against: small requests refused as large ones have taken all room.
def test_small_requests_are_served_beside_large_ones():
    budget = receive_budget.ReceiveBudget(100 * READ)
    large = [_holding(budget, 10 * READ)[0] for _ in range(9)]
    assert [budget.try_serve(holding) for holding in large] == [True] * 7 + [False] * 2
    for holding in large[7:]:
        budget.release(holding)
    small = [_holding(budget, READ)[0] for _ in range(20)]
    assert sum(budget.try_serve(holding) for holding in small) == 15
