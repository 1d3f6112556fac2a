"""Budget of answers that are held as a whole: its bound, and which answers end."""

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork import errors
from medlarfork.http import answer_budget

MEMORY_MB = 160.0
PART_BYTES = 64 * 1024


class Answer:
    """An answer that grows until its budget ends it."""

    def __init__(self, budget):
        self.is_ended = False
        self.size = 0
        self.lease = answer_budget.AnswerLease(budget, self._end)

    def _end(self):
        self.is_ended = True

    def grow(self, size):
        self.size += size
        try:
            self.lease.resize(self.size)
        except errors.UpstreamError:
            self.lease.close()
            return False
        return True


@pytest.fixture
def budget():
    return answer_budget.AnswerBudget(MEMORY_MB)


def test_a_single_answer_may_be_larger_than_the_limit(budget):
    answer = Answer(budget)
    assert answer.grow(2 * budget.limit_bytes)
    assert not answer.is_ended


# Guards against: endless answers that ended the sound ones beside them.
def test_endless_answers_end_before_smaller_ones(budget):
    sound = Answer(budget)
    assert sound.grow(300_000)
    endless = [Answer(budget) for _ in range(20)]
    growing = list(endless)
    while growing:
        growing = [answer for answer in growing if answer.grow(PART_BYTES)]
        if len(growing) == 1:
            break
    assert not sound.is_ended
    assert budget.evictions == len(endless) - 1


def test_complete_answers_are_not_ended(budget):
    complete = Answer(budget)
    complete.grow(budget.limit_bytes - PART_BYTES)
    complete.lease.complete()
    late = Answer(budget)
    assert not late.grow(10 * PART_BYTES)
    assert not complete.is_ended
    complete.lease.close()
    assert Answer(budget).grow(10 * PART_BYTES)


def test_answers_of_usual_size_never_end(budget):
    Answer(budget).grow(3 * budget.limit_bytes)
    assert all(Answer(budget).grow(answer_budget.FREE_BYTES) for _ in range(1_000))


STEPS = st.tuples(st.integers(0, 9), st.sampled_from(["grow", "grow", "complete", "close"]))


@hypothesis.given(st.lists(st.tuples(STEPS, st.integers(1, 6_000_000)), max_size=60))
def test_answers_take_the_limit_at_most_or_one_of_them_all(steps):
    budget = answer_budget.AnswerBudget(MEMORY_MB)
    answers = [Answer(budget) for _ in range(10)]
    for (number, step), size in steps:
        answer = answers[number]
        match step:
            case "grow" if not answer.is_ended:
                answer.grow(size)
            case "complete" if not answer.is_ended:
                answer.lease.complete()
            case "close":
                answer.lease.close()
                answers[number] = Answer(budget)
        for ended in answers:
            if ended.is_ended:
                ended.lease.close()
        taken = [answer.lease.size for answer in answers]
        assert budget.held_bytes == sum(taken)
        assert budget.held_bytes <= budget.limit_bytes or sum(map(bool, taken)) == 1
    for answer in answers:
        answer.lease.close()
    assert budget.held_bytes == 0
