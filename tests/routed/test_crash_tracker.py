"""Which events an entry host counts as an upstream crash, and how it reports them."""

import time
import types

import curio
import pytest

from medlarfork.gateway import crash_tracker, entry_session, request_types
from medlarfork.http import http_client
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, crash_messages
from tests import curio_world

KEY = "a1b2c3-request"
Verdict = crash_ledger.Verdict


class Client:
    """A fake HTTP client with a probe result for each address."""

    def __init__(self):
        self.reach_by_address = {}
        self.probes = 0

    async def reach(self, address, *, within_s):
        self.probes += 1
        await curio.sleep(0.001)
        return self.reach_by_address.get(address, http_client.Reachability.REFUSES)


@pytest.fixture
def client():
    return Client()


@pytest.fixture
def session():
    return entry_session.EntrySession(("r1", "r2"))


@pytest.fixture
def sent():
    return []


@pytest.fixture
def tracker(client, session, sent):
    def send(replica_id, report):
        sent.append((replica_id, report))
        return True

    return crash_tracker.CrashTracker(client, session, send)


@pytest.fixture
def make_admitted(make_route):
    def make(key=KEY, parts=()):
        segments = tuple(placement_messages.PromptSegment(name, 10) for name in (*parts, "own"))
        metadata = types.SimpleNamespace(attempt_id="a-1", prompt_segments=segments)
        route = make_route(has_prompt=True)
        return request_types.AdmittedRequest(None, metadata, route, key, "s", "shop", 0, b"", 0, 1)

    return make


def upstream(make_announcement, number, **changes):
    values = {"address": f"10.0.0.{number}:80", "name": f"n-{number}", "born_ms": 1}
    return make_announcement(f"n-{number}@1", **(values | changes))


async def break_run_at(tracker, admitted, where, **more):
    await tracker.handle_broken_run(admitted, where, **more)
    await tracker.wait_probed(where.upstream_id)


# Guards against: an upstream that crashes again and again and is counted once, while no replica
# tells the host of its new incarnations.
def test_an_upstream_that_refused_and_ran_a_request_again_has_crashed_twice(
    tracker, make_admitted, make_announcement
):
    async def main():
        where = upstream(make_announcement, 1)
        for verdict in (Verdict.FREE, Verdict.TRIAL, Verdict.HELD):
            sent_at = time.monotonic()
            await break_run_at(tracker, make_admitted(), where, sent_at=sent_at)
            assert tracker.standing((KEY,)).verdict is verdict
            # Another run of the same start, whose end was noticed late.
            await break_run_at(tracker, make_admitted("other"), where, sent_at=sent_at)
            assert tracker.standing((KEY,)).verdict is verdict
        assert tracker.standing(("other",)).ends == 3

    curio_world.run(main)


def test_hosts_that_saw_different_crashes_of_an_upstream_count_no_crash_twice(
    client, session, make_admitted, make_announcement
):
    async def main():
        reports = []
        trackers = [
            crash_tracker.CrashTracker(client, session, lambda to, report: reports.append(report))
            for _ in range(2)
        ]
        where = upstream(make_announcement, 1)
        for seen_by in ((0,), (0, 1), (1,), (0, 1)):
            for number in seen_by:
                await break_run_at(
                    trackers[number], make_admitted(), where, sent_at=time.monotonic()
                )
        ledger = crash_ledger.CrashLedger()
        for report in reports:
            ledger.merge(report, time.monotonic())
        assert 2 < len(ledger.ends(KEY)) <= 4

    curio_world.run(main)


def test_crashes_are_reported_to_all_replicas_and_the_third_holds_the_request(
    tracker, sent, make_admitted, make_announcement
):
    async def main():
        for number, verdict in enumerate((Verdict.FREE, Verdict.TRIAL, Verdict.HELD)):
            await break_run_at(tracker, make_admitted(), upstream(make_announcement, number))
            assert tracker.standing((KEY,)).verdict is verdict
        assert [to for to, _ in sent] == ["r1", "r2"] * 3
        assert len(sent[-1][1].cases[0].ends) == 3

    curio_world.run(main)


def test_runs_broken_at_one_upstream_share_one_probe(
    tracker, client, sent, make_admitted, make_announcement
):
    """A crash breaks many runs at once: here 21, within 2 ms."""

    async def main():
        where = upstream(make_announcement, 1)
        for number in range(21):
            await tracker.handle_broken_run(make_admitted(f"k-{number}"), where)
        await tracker.wait_probed(where.upstream_id)
        assert client.probes == 1
        assert len(sent) == 2
        assert len(sent[0][1].cases) == 21

    curio_world.run(main)


def test_a_lost_connection_to_a_listening_upstream_is_no_crash(
    tracker, client, session, make_admitted, make_announcement
):
    async def main():
        for number in range(5):
            where = upstream(make_announcement, number)
            client.reach_by_address[f"http://{where.address}"] = http_client.Reachability.ACCEPTS
            await break_run_at(tracker, make_admitted(), where)
        assert tracker.standing((KEY,)).verdict is Verdict.FREE
        assert tracker.cases == 0

    curio_world.run(main)


# Guards against: a crash that no host counts without a replica, as the listening socket of the
# upstream was closed after the connection of the run.
def test_an_upstream_that_refuses_soon_after_it_accepted_a_probe_has_crashed(
    tracker, client, make_admitted, make_announcement
):
    async def main():
        where = upstream(make_announcement, 1)
        address = f"http://{where.address}"
        for _ in range(2):
            client.reach_by_address[address] = http_client.Reachability.ACCEPTS
            await break_run_at(tracker, make_admitted(), where, sent_at=time.monotonic())
            client.reach_by_address[address] = http_client.Reachability.REFUSES
            await curio.sleep(0.2)
        tracker.check_replacements()
        assert tracker.standing((KEY,)).verdict is Verdict.TRIAL

    curio_world.run(main)


@pytest.mark.parametrize("breaks", [True, False])
def test_a_replaced_upstream_counts_as_crashed(
    tracker, client, session, make_admitted, make_announcement, breaks
):
    """An upstream without power resets no connection, and its replacement may accept the probe."""

    async def main():
        session.upstream_by_id.clear()
        for number in range(3):
            where = upstream(make_announcement, number)
            client.reach_by_address[f"http://{where.address}"] = http_client.Reachability.ACCEPTS
            if breaks:
                await break_run_at(tracker, make_admitted(), where)
            else:
                tracker.record_abandoned_run((KEY,), where)
            again = upstream(make_announcement, number, born_ms=2)
            session.upstream_by_id[f"n-{number}@2"] = again
        tracker.check_replacements()
        assert tracker.standing((KEY,)).verdict is Verdict.HELD

    curio_world.run(main)


def test_a_run_abandoned_long_before_a_crash_is_not_blamed_for_it(
    tracker, session, make_announcement, monkeypatch
):
    """Callers of slow streams often disconnect, and every release replaces all upstreams."""
    now = [100.0]
    monkeypatch.setattr(crash_tracker, "_now", lambda: now[0])
    for number in range(3):
        where = upstream(make_announcement, number)
        tracker.record_abandoned_run((KEY,), where)
        now[0] += crash_tracker.REPLACEMENT_WINDOW_S - 1.0
        tracker.record_abandoned_run(("another",), where)
        now[0] += 2.0
        session.upstream_by_id[f"n-{number}@2"] = upstream(make_announcement, number, born_ms=2)
        tracker.check_replacements()
    assert tracker.standing(("another",)).verdict is Verdict.HELD
    assert tracker.standing((KEY,)).verdict is Verdict.FREE


def test_a_host_that_saw_a_request_complete_clears_it_at_all_replicas(tracker, sent):
    tracker.record_completed_run((KEY,))
    ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.1) for number in range(3))
    tracker.apply_report(crash_messages.CrashReport((crash_messages.CrashCase(KEY, ends),)))
    assert tracker.standing((KEY,)).verdict is Verdict.FREE
    assert [to for to, _ in sent] == ["r1", "r2"]
    assert sent[0][1].cases[0].survived_ago_s >= 0


def test_a_request_is_suspect_after_its_second_broken_run_or_once_it_is_held(
    tracker, make_admitted, make_announcement
):
    """Crashes under other requests with its key put it on trial but do not stop it."""

    async def main():
        for number, expected in ((0, (False, False)), (1, (False, True)), (2, (True, True))):
            where = upstream(make_announcement, number)
            await break_run_at(tracker, make_admitted(), where)
            found = [
                await tracker.is_suspect((KEY,), where.upstream_id, breaks) for breaks in (1, 2)
            ]
            assert tuple(found) == expected

    curio_world.run(main)


# Guards against: a safe request that crashes a second upstream at once with a prompt part that had
# crashed one under another request.
def test_a_request_is_not_retried_if_a_part_crashed_its_upstream_and_another(
    tracker, make_admitted, make_announcement
):
    async def main():
        first, second = (upstream(make_announcement, number) for number in (1, 2))
        await break_run_at(tracker, make_admitted("a", ["tmpl", "guilty"]), first)
        tracker.record_completed_run(make_admitted("b", ["tmpl", "good"]).crash_keys)
        for parts, expected in ((["tmpl", "good"], False), (["tmpl", "guilty"], True)):
            admitted = make_admitted("c", parts)
            await tracker.handle_broken_run(admitted, second)
            found = await tracker.is_suspect(admitted.crash_keys, second.upstream_id, 1)
            assert found is expected

    curio_world.run(main)


def test_a_run_without_an_event_beside_one_with_events_counts_as_such(
    tracker, sent, make_admitted, make_announcement
):
    async def main():
        where = upstream(make_announcement, 1)
        await tracker.handle_broken_run(make_admitted("a", ["both"]), where, has_begun=True)
        await tracker.handle_broken_run(make_admitted("b", ["both"]), where)
        await break_run_at(tracker, make_admitted("c", ["begun"]), where, has_begun=True)
        cases = {case.key: case.ends[0].has_begun for case in sent[-1][1].cases}
        keys = make_admitted("d", ["both", "begun"]).crash_keys
        assert [cases[key] for key in keys[1:]] == [False, True]

    curio_world.run(main)


def test_simultaneous_crashes_just_after_an_answer_put_no_request_on_trial(
    tracker, sent, make_admitted, make_announcement
):
    """Two engines were killed at once, and a request that ran on both was wrongly blamed for it."""

    async def main():
        tracker.record_completed_run((KEY,))
        for number in range(3):
            await break_run_at(tracker, make_admitted(), upstream(make_announcement, number))
            assert tracker.standing((KEY,)).verdict is Verdict.FREE
        assert sent == []

    curio_world.run(main)


def test_an_old_answer_shields_no_request(tracker, make_admitted, make_announcement, monkeypatch):
    now = [100.0]
    monkeypatch.setattr(crash_tracker, "_now", lambda: now[0])

    async def main():
        tracker.record_completed_run((KEY,))
        now[0] += crash_ledger.EXONERATION_S + 0.1
        for number in range(3):
            await break_run_at(tracker, make_admitted(), upstream(make_announcement, number))
        assert tracker.standing((KEY,)).verdict is Verdict.HELD

    curio_world.run(main)


def test_a_restarted_replica_gets_all_known_cases(tracker, sent, make_admitted, make_announcement):
    async def main():
        tracker.sync_if_restarted("r1", 50.0)
        await break_run_at(tracker, make_admitted(), upstream(make_announcement, 1))
        sent.clear()
        tracker.sync_if_restarted("r1", 50.4)
        assert sent == []
        tracker.sync_if_restarted("r1", 0.2)
        assert [to for to, _ in sent] == ["r1"]

    curio_world.run(main)


# Guards against: a replica never heard of a crash that was reported while its link was silent.
@pytest.mark.parametrize(("silent_s", "receivers"), [(0.8, []), (1.5, ["r1"])])
def test_a_replica_that_was_silent_for_long_gets_all_known_cases(
    tracker, sent, make_admitted, make_announcement, monkeypatch, silent_s, receivers
):
    now = [100.0]
    monkeypatch.setattr(crash_tracker, "_now", lambda: now[0])

    async def main():
        await break_run_at(tracker, make_admitted(), upstream(make_announcement, 1))
        tracker.sync_if_restarted("r1", 50.0)
        sent.clear()
        now[0] += silent_s
        tracker.sync_if_restarted("r1", 50.0 + silent_s)
        assert [to for to, _ in sent] == receivers

    curio_world.run(main)


# Guards against: a host that had lost its own links put sound requests on trial at all hosts.
@pytest.mark.parametrize("has_contact", [False, True])
def test_a_broken_run_counts_as_a_crash_only_if_another_upstream_is_reached(
    client, session, sent, make_admitted, make_announcement, has_contact
):
    async def has_other_contact(upstream, since):
        return has_contact

    def send(replica_id, report):
        sent.append((replica_id, report))
        return True

    async def main():
        tracker = crash_tracker.CrashTracker(client, session, send, has_other_contact)
        for number in range(3):
            await break_run_at(tracker, make_admitted(), upstream(make_announcement, number))
        assert tracker.standing((KEY,)).verdict is (Verdict.HELD if has_contact else Verdict.FREE)
        assert bool(sent) is has_contact

    curio_world.run(main)
