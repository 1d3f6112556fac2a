"""The order board refuses commands of earlier holders and delayed duplicates."""

import pytest

from medlarfork.orders import _declarations, order_types, orders

WEIGHTS = order_types.Weights("m", "v1", 10)
LOAD = order_types.LoadWeights(WEIGHTS, 5.0)
Verdict = order_types.Verdict


@pytest.fixture
def board():
    return orders.OrderBoard()


def apply(board, command, now_ms=7):
    return orders.REPLIES.unpack(board.apply(orders.COMMANDS.pack(command), now_ms)).verdict


def order(fence, number, engine="e1"):
    return order_types.Order(fence, number, engine, load=LOAD)


def test_an_order_is_in_progress_from_its_record_to_its_result(board):
    apply(board, order_types.BeginHolding(3))
    assert apply(board, order_types.RecordOrder(order(3, 1))) is Verdict.ACCEPTED
    assert board.order_by_upstream == {"e1": order(3, 1)}
    done = order_types.RecordResult(3, "e1", "3-1", order_types.OrderResult.DONE)
    assert apply(board, done, now_ms=9) is Verdict.ACCEPTED
    assert board.order_by_upstream == {}
    finished = order_types.FinishedOrder(order(3, 1), order_types.OrderResult.DONE, 9)
    assert board.history == (finished,)


def test_an_engine_has_one_order_at_a_time(board):
    apply(board, order_types.BeginHolding(3))
    apply(board, order_types.RecordOrder(order(3, 1)))
    assert apply(board, order_types.RecordOrder(order(3, 2))) is Verdict.CONFLICT


def test_a_late_copy_of_a_finished_order_is_refused(board):
    apply(board, order_types.BeginHolding(3))
    apply(board, order_types.RecordOrder(order(3, 1)))
    assert apply(board, order_types.RecordOrder(order(3, 1))) is Verdict.ACCEPTED
    apply(board, order_types.RecordResult(3, "e1", "3-1", order_types.OrderResult.DONE))
    assert apply(board, order_types.RecordOrder(order(3, 1))) is Verdict.CONFLICT


@pytest.mark.parametrize(
    "command",
    [
        order_types.BeginHolding(2),
        order_types.RecordOrder(order(2, 9)),
        order_types.RecordResult(2, "e1", "3-1", order_types.OrderResult.DONE),
        order_types.SetInService(2, 9, "e1", False),
    ],
)
def test_an_earlier_holder_changes_nothing(board, command):
    apply(board, order_types.BeginHolding(3))
    apply(board, order_types.RecordOrder(order(3, 1)))
    before = board.encode()
    assert apply(board, command) is Verdict.STALE_FENCE
    assert board.encode() == before


def test_a_late_copy_does_not_take_an_engine_out_again(board):
    apply(board, order_types.BeginHolding(3))
    out = order_types.SetInService(3, 1, "e1", False)
    apply(board, out)
    apply(board, order_types.SetInService(3, 2, "e1", True))
    assert apply(board, out) is Verdict.CONFLICT
    assert board.out_of_service == frozenset()


def test_a_selector_that_does_not_parse_is_refused(board):
    assert (
        apply(board, order_types.Declare(order_types.DesiredState("x", "a=="))) is Verdict.INVALID
    )


def test_a_restored_board_gives_the_same_replies(board):
    apply(board, order_types.Declare(order_types.DesiredState("x", weights=(WEIGHTS,))))
    apply(board, order_types.BeginHolding(3))
    apply(board, order_types.RecordOrder(order(3, 1)))
    apply(board, order_types.SetInService(3, 2, "e2", False))
    restored = orders.OrderBoard()
    restored.restore(board.encode())
    assert restored.encode() == board.encode()
    assert apply(restored, order_types.RecordOrder(order(3, 1, "e3"))) is Verdict.CONFLICT
    restored.restore(b"")
    assert restored.encode() == orders.OrderBoard().encode()


def test_the_board_is_bounded(board, monkeypatch):
    monkeypatch.setattr(_declarations, "MAX_DECLARATIONS", 1)
    monkeypatch.setattr(orders, "MAX_IN_PROGRESS", 1)
    apply(board, order_types.BeginHolding(3))
    apply(board, order_types.Declare(order_types.DesiredState("x")))
    assert apply(board, order_types.Declare(order_types.DesiredState("y"))) is Verdict.FULL
    apply(board, order_types.RecordOrder(order(3, 1)))
    assert apply(board, order_types.RecordOrder(order(3, 2, "e2"))) is Verdict.FULL


def declare(board, change_id, base, role="", name="x", operator="ana", now_ms=7):
    desired = order_types.DesiredState(name, role=role)
    command = order_types.Declare(desired, change_id, base, operator)
    return orders.REPLIES.unpack(board.apply(orders.COMMANDS.pack(command), now_ms))


def test_of_two_declarations_from_one_revision_the_first_wins_and_both_answers_stay(board):
    accepted, refused = declare(board, "a", 0, "p"), declare(board, "b", 0, "q", operator="rui")
    assert (accepted.verdict, accepted.revision) == (Verdict.ACCEPTED, 1)
    assert refused.verdict is Verdict.CONFLICT
    assert (refused.winner.change_id, refused.winner.operator) == ("a", "ana")
    assert declare(board, "c", 1, "r").revision == 2
    restored = orders.OrderBoard()
    restored.restore(board.encode())
    for each in (board, restored):
        assert declare(each, "a", 0, "p", now_ms=9) == accepted
        assert declare(each, "b", 0, "q", operator="rui") == refused
        assert each.desired_by_name["x"].role == "r"
        assert each.revision == 2


def test_an_id_used_for_another_declaration_is_refused(board):
    declare(board, "a", 0, "p")
    assert declare(board, "a", 0, "q").verdict is Verdict.KEY_REUSED
    assert board.desired_by_name["x"].role == "p"


def test_declarations_of_different_targets_do_not_conflict(board):
    declare(board, "a", 0)
    assert declare(board, "b", 0, name="y").verdict is Verdict.ACCEPTED


def test_a_change_that_is_no_longer_remembered_still_takes_effect_once(board, monkeypatch):
    monkeypatch.setattr(_declarations, "MAX_ANSWERS", 1)
    declare(board, "a", 0, "p")
    declare(board, "b", 1, "q")
    assert declare(board, "a", 0, "p").verdict is Verdict.CONFLICT
    assert board.desired_by_name["x"].role == "q"


@pytest.mark.parametrize(
    "wrong",
    [
        order_types.DesiredState(""),
        order_types.DesiredState("x", max_unavailable=2.0),
        order_types.DesiredState("x", weights=(order_types.Weights("", "v1", 1),)),
        order_types.DesiredState("x", weights=(order_types.Weights("m", "v1", -1),)),
    ],
)
def test_an_invalid_declaration_is_refused(board, wrong):
    assert apply(board, order_types.Declare(wrong)) is Verdict.INVALID
