"""Concurrent and resent changes of operators against a running deployment."""

import concurrent.futures
import threading

from tests.processes import callers


def test_of_two_changes_from_one_revision_one_wins_and_both_answers_stay(make_deployment, new_key):
    deployment = make_deployment(entries=1)
    operator = deployment.operator
    base, configuration = operator.configuration()
    bodies = {}
    for name in ("first", "second"):
        change_id = new_key()
        renamed = {**configuration, "name": name}
        bodies[change_id] = callers.change_body(change_id, base, renamed)
    leader = deployment.wait_for_leader()
    together = threading.Barrier(len(bodies))

    def _send(body):
        together.wait()
        return operator.ask(leader, "POST", "/v1/changes", body)

    with concurrent.futures.ThreadPoolExecutor() as executor:
        answers = dict(zip(bodies, executor.map(_send, bodies.values()), strict=True))

    (winner,) = [change_id for change_id, answer in answers.items() if answer.status == 200]
    (loser,) = [change_id for change_id, answer in answers.items() if answer.status == 409]
    assert answers[winner].json["revision"] == base + 1
    _assert_names_winner(answers[loser], winner, base + 1)
    # A resent change must still name the original winner, not a later change.
    current, configuration = operator.configuration()
    later = operator.change(new_key(), current, {**configuration, "name": "later"})
    assert later.json["revision"] == base + 2
    _assert_first_answers(operator, bodies, winner, loser, base)

    deployment.processes.kill(leader)
    deployment.wait_for_leader()

    _assert_first_answers(operator, bodies, winner, loser, base)
    assert operator.configuration()[0] == base + 2
    assert operator.history()[base + 1] == winner
    deployment.wait_for_revision(base + 2)


def _assert_names_winner(answer, winner, revision):
    assert answer.error["code"] == "change_conflict"
    assert answer.error["winner"]["change_id"] == winner
    assert answer.error["winner"]["revision"] == revision
    assert answer.error["winner"]["operator"] == "demo"
    assert answer.error["remedy"]


def _assert_first_answers(operator, bodies, winner, loser, base):
    again = operator.ask_leader("POST", "/v1/changes", bodies[winner])
    assert (again.status, again.json["revision"]) == (200, base + 1)
    again = operator.ask_leader("POST", "/v1/changes", bodies[loser])
    assert again.status == 409
    _assert_names_winner(again, winner, base + 1)


def test_a_change_resent_through_the_command_line_is_applied_once(make_deployment, new_key):
    deployment = make_deployment(entries=1)
    changed = deployment.folder / "changed.toml"
    text = (deployment.folder / "configuration.toml").read_text()
    changed.write_text(text.replace("failures", "changed"))
    arguments = ("apply", str(changed), f"--change_id={new_key()}", "--base_revision=1")
    first = deployment.ctl(*arguments)
    assert (first.status, first.output.strip()) == (0, "accepted as revision 2"), first
    deployment.processes.kill(deployment.wait_for_leader())
    deployment.wait_for_leader()

    again = deployment.ctl(*arguments)

    assert (again.status, again.output) == (first.status, first.output), again
    other = deployment.ctl("apply", str(changed), f"--change_id={new_key()}", "--base_revision=1")
    assert other.status == 1
    assert "revision 2" in other.errors
    assert len(deployment.operator.history()) == 2
