"""Which prompt parts are held for crashes, and which are cleared although they ran beside them."""

import dataclasses
import itertools
import math

import pytest

from medlarfork import codec
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, crash_messages, crash_subject, trial_manager

Verdict = crash_ledger.Verdict
RunEnd = placement_messages.RunEnd


def part(name):
    return crash_subject.part_key("engines", name)


GUILTY, PARTNER, OTHER = part("guilty"), part("partner"), part("other")


@pytest.fixture
def ledger():
    return crash_ledger.CrashLedger()


def crash(ledger, upstream_id, *keys, at=0.0, has_begun=False):
    for key in keys:
        ledger.record_crash(key, upstream_id, at, at, has_begun=has_begun)


def crash_often(ledger, count, *keys, **more):
    for number in range(count):
        crash(ledger, f"u-{number}", *keys, **more)


def segments(*names):
    return tuple(placement_messages.PromptSegment(name, 100) for name in names)


def test_requests_of_any_account_share_the_keys_of_their_parts_but_not_of_the_last():
    first = crash_subject.keys("a", "engines", segments("tmpl", "guilty", "own-1"))
    second = crash_subject.keys("b", "engines", segments("rare", "guilty", "own-2"))
    elsewhere = crash_subject.keys("a", "others", segments("tmpl", "guilty", "own-1"))
    assert set(first) & set(second) == {GUILTY}
    assert set(first) & set(elsewhere) == {"a"}
    assert len(crash_subject.keys("a", "engines", segments("own"))) == 1


def test_long_prompts_and_long_part_ids_make_bounded_keys():
    names = [f"{number}-" + "x" * 10_000 for number in range(500)]
    keys = crash_subject.keys("a", "engines", segments(*names))
    assert len(keys) == 1 + crash_subject.MAX_PARTS
    assert max(map(len, keys)) < 40


@pytest.mark.parametrize(
    ("has_begun", "crashes", "verdict", "trial_in_s"),
    [
        (False, 2, Verdict.FREE, 0.0),
        (False, 3, Verdict.TRIAL, 0.0),
        (False, 4, Verdict.HELD, 30.0),
        (False, 5, Verdict.HELD, 300.0),
        (False, 6, Verdict.HELD, math.inf),
        (True, 4, Verdict.FREE, 0.0),
        (True, 5, Verdict.TRIAL, 0.0),
        (True, 6, Verdict.HELD, 30.0),
        (True, 8, Verdict.HELD, math.inf),
    ],
)
def test_a_part_runs_freely_then_one_at_a_time_then_not(
    ledger, has_begun, crashes, verdict, trial_in_s
):
    crash_often(ledger, crashes, GUILTY, has_begun=has_begun)
    standing = ledger.standing_of(("request", GUILTY), 0.0)
    assert (standing.verdict, standing.trial_in_s) == (verdict, trial_in_s)


@pytest.mark.parametrize("has_begun", [False, True])
def test_a_part_that_crashed_five_upstreams_reaches_three_more_at_most_in_a_week(ledger, has_begun):
    runs = 0
    for minute in range(7 * 24 * 60):
        now = minute * 60.0
        ledger.tidy(now)
        if ledger.standing(GUILTY, now).verdict is not Verdict.HELD:
            runs += 1
            crash(ledger, f"u-{minute}", GUILTY, at=now, has_begun=has_begun)
    assert runs <= 5 + 3


def test_a_held_part_explains_the_crashes_of_its_neighbours(ledger):
    """Three crashes beside the guilty part would hold a request and put a part on trial."""
    crash_often(ledger, 3, GUILTY, PARTNER, "a1b2c3-request")
    assert ledger.standing(PARTNER, 0.0).verdict is Verdict.TRIAL
    crash_often(ledger, 4, GUILTY)
    assert ledger.standing(GUILTY, 0.0).verdict is Verdict.HELD
    assert ledger.standing(PARTNER, 0.0).verdict is Verdict.FREE
    assert ledger.standing("a1b2c3-request", 0.0).verdict is Verdict.FREE
    assert ledger.unexplained_ends(PARTNER) == ()


def test_many_streams_beside_the_crashes_explain_nothing(ledger):
    crash_often(ledger, 4, GUILTY)
    crash_often(ledger, 9, OTHER, has_begun=True)
    assert ledger.standing(GUILTY, 0.0).verdict is Verdict.HELD


@pytest.mark.parametrize("guilty_comes_first", [True, False])
def test_parts_that_always_come_together_are_told_apart_by_a_request_with_one(
    ledger, guilty_comes_first
):
    crash_often(ledger, 4, GUILTY, PARTNER)
    both = ("request", GUILTY, PARTNER)
    assert ledger.standing_of(both, 0.0).verdict is Verdict.HELD
    assert ledger.standing_of(("request", GUILTY), 0.0).verdict is Verdict.TRIAL
    assert ledger.standing_of(("request", PARTNER), 0.0).verdict is Verdict.TRIAL
    if guilty_comes_first:
        crash(ledger, "u-9", GUILTY)
    else:
        ledger.record_completion(PARTNER, 1.0, 1.0)
    assert ledger.standing_of(("request", PARTNER), 1.0).verdict is Verdict.FREE
    assert ledger.standing_of(("request", GUILTY), 1.0).verdict is Verdict.HELD
    assert ledger.standing_of(both, 1.0).verdict is Verdict.HELD


def test_contrast_trials_end_with_the_other_trials(ledger):
    crash_often(ledger, 6, GUILTY, PARTNER)
    assert ledger.standing_of(("request", GUILTY), 0.0).verdict is Verdict.HELD


def test_ledgers_agree_whether_a_run_had_begun_in_any_order():
    reports = [
        crash_messages.CrashReport(
            (crash_messages.CrashCase(GUILTY, (crash_messages.UpstreamCrash("u", 1.0, begun),)),)
        )
        for begun in (True, False, True)
    ]
    for order in itertools.permutations(reports):
        ledger = crash_ledger.CrashLedger()
        for report in order:
            ledger.merge(report, 10.0)
        assert ledger.begun_ends(GUILTY) == ()
        assert ledger.merge(ledger.report((GUILTY,), 11.0), 11.0) == ()


@dataclasses.dataclass(frozen=True)
class UpstreamCrash:
    """The message as builds without prompt parts know it."""

    upstream_id: str
    ago_s: float


def test_builds_without_prompt_parts_read_and_send_crashes():
    older, newer = codec.Codec([UpstreamCrash]), codec.Codec([crash_messages.UpstreamCrash])
    sent = crash_messages.UpstreamCrash("u-1", 2.0, has_begun=True)
    assert older.decode(*newer.encode(sent)) == UpstreamCrash("u-1", 2.0)
    assert newer.decode(*older.encode(UpstreamCrash("u-1", 2.0))).has_begun is False


def test_ever_new_parts_evict_no_held_part_and_no_request(ledger):
    crash_often(ledger, 4, GUILTY)
    for number in range(3):
        crash(ledger, f"w-{number}", "a1b2c3-request")
    for number in range(2 * crash_ledger.MAX_CASES):
        crash(ledger, f"u-{number}", part(f"new-{number}"))
    assert len(ledger) <= crash_ledger.MAX_CASES + 1
    assert ledger.standing(GUILTY, 0.0).verdict is Verdict.HELD
    assert ledger.standing("a1b2c3-request", 0.0).verdict is Verdict.HELD


@pytest.fixture
def manager(ledger):
    return trial_manager.TrialManager(ledger)


@pytest.fixture
def request_trial(manager, make_place_request):
    """Return a function that asks for a trial of a request, and returns the refusal or None."""

    def ask(ticket_id, *names, now=1.0, **changes):
        keys = crash_subject.keys("", "engines", segments(*names, "own"))
        request = make_place_request(
            ticket_id,
            parts=tuple((name, 100) for name in (*names, "own")),
            trial_key=manager._ledger.standing_of(keys, now).key,
            **changes,
        )
        return manager.request_trial(request, now)

    return ask


def test_requests_that_share_any_suspect_run_one_at_a_time(ledger, manager, request_trial):
    crash_often(ledger, 3, GUILTY, PARTNER)
    assert request_trial("t-1", "guilty", "partner") is None
    for names in (("guilty",), ("partner",), ("tmpl", "guilty", "partner")):
        refused = request_trial("t-2", *names)
        assert refused.cause is placement_messages.RefusalCause.TRIAL
    manager.on_ended("t-1", RunEnd.COMPLETE, 1.1)
    assert request_trial("t-3", "partner") is None


def test_a_replica_refuses_a_held_part_under_any_trial_key(ledger, manager, make_place_request):
    crash_often(ledger, 4, GUILTY)
    request = make_place_request("t", parts=(("guilty", 100), ("own", 100)), trial_key=PARTNER)
    refused = manager.request_trial(request, 1.0)
    assert "prompt part 'guilty'" in refused.why
    assert refused.retry_after_ms == pytest.approx(29_000.0)


def test_a_contrast_trial_is_granted(ledger, request_trial):
    crash_often(ledger, 4, GUILTY, PARTNER)
    assert request_trial("t-1", "guilty", "partner") is not None
    assert request_trial("t-2", "partner") is None
