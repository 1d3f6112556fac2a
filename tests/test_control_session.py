"""Tests of heartbeats, the order of revisions and views, and the proof of currency."""

from __future__ import annotations

import dataclasses
import random

import pytest

from medlarfork import heartbeat, member, node
from medlarfork.declared import configuration_delta
from medlarfork.entry import control_session, entry_options, entry_types
from medlarfork.orders import inventory
from tests import entry_harness

FIRST = heartbeat.RevisionedConfiguration(1, entry_harness.declared())
SECOND = heartbeat.RevisionedConfiguration(
    2, dataclasses.replace(FIRST.configuration, engine_lease_s=9.0)
)
OPTIONS = entry_options.EntryNodeOptions("e1", 1, control_ids=("c1", "c2", "c3"))


class SessionHarness:
    """A session and the heartbeats that it has sent."""

    def __init__(self):
        self.session = control_session.ControlSession(
            OPTIONS,
            generator=random.Random(1),
            member_now=lambda: entry_harness.member_of("e1"),
        )
        self.sent = []
        self.record_sent(self.session.handle(node.Started(), 0.0))

    def record_sent(self, actions):
        self.sent += [item for item in actions if isinstance(item, node.Send)]
        return [item for item in actions if not isinstance(item, node.Send)]

    def reply(self, now, number=0, sender="c1", **parts):
        number = number or self.sent[-1].message.number
        message = heartbeat.HeartbeatReply(number, 1, parts.pop("revision", 1), **parts)
        return self.record_sent(self.session.handle(node.MessageReceived(sender, message), now))

    def tick(self, now):
        return self.record_sent(self.session.handle(node.TimeDue(), now))


@pytest.fixture
def harness():
    return SessionHarness()


def test_the_first_reply_puts_configuration_and_view_in_force(harness):
    view = member.View((1, 1), (entry_harness.member_of("e1"),))
    applied = harness.reply(0.1, whole=FIRST, view=view)
    assert applied[0] == entry_types.ConfigurationApplied(1)
    assert (harness.session.revision, harness.session.view) == (1, view)


def test_revision_and_view_version_never_decrease(harness):
    newer, older = member.View((2, 1)), member.View((1, 9))
    harness.reply(0.1, revision=2, whole=SECOND, view=newer)
    assert harness.reply(0.2, whole=FIRST, view=older) == []
    assert (harness.session.revision, harness.session.view) == (2, newer)


def test_a_delta_applies_only_to_its_own_base(harness):
    delta = configuration_delta.make(FIRST, SECOND)
    assert harness.reply(0.1, revision=2, delta=delta) == []
    harness.reply(0.2, whole=FIRST)
    harness.reply(0.3, revision=2, delta=delta)
    assert harness.session.configuration == SECOND.configuration
    assert harness.reply(0.4, revision=2, delta=delta) == []
    harness.tick(1.0)
    assert harness.sent[-1].message.revision == 2


def test_an_invalid_delta_makes_the_session_request_the_full_configuration(harness):
    harness.reply(0.1, whole=FIRST)
    damaged = heartbeat.ConfigurationDelta(1, 2, {"account/x": b"{"}, ())
    harness.reply(0.2, revision=2, delta=damaged)
    harness.tick(1.0)
    assert (harness.session.revision, harness.sent[-1].message.revision) == (1, 0)


def test_the_proof_counts_from_when_the_answered_heartbeat_was_sent(harness):
    harness.reply(3.0, whole=FIRST)
    assert harness.session.proof_age_s(3.0) == 3.0
    assert harness.session.is_proven(5.0) and not harness.session.is_proven(5.1)
    assert harness.session.holds_lease(2.9) and not harness.session.holds_lease(3.0)


def test_a_reply_that_names_a_revision_not_held_proves_nothing(harness):
    harness.reply(0.1, whole=FIRST)
    harness.tick(1.0)
    harness.reply(1.1, revision=2)
    assert harness.session.proof_age_s(1.1) == 1.1


@pytest.mark.parametrize(("number", "sender"), [(1, "c1"), (0, "e2")])
def test_replies_to_unknown_heartbeats_or_from_unknown_replicas_are_ignored(
    harness, number, sender
):
    assert harness.reply(0.1, number=number, sender=sender, whole=FIRST) == []
    assert harness.session.revision == 0


def test_a_silent_replica_is_skipped_and_a_known_leader_is_contacted_at_once(harness):
    harness.tick(1.0)
    assert [item.to for item in harness.sent] == ["c1", "c2"]
    hint = heartbeat.NotLeader("c1", 1)
    harness.record_sent(harness.session.handle(node.MessageReceived("c2", hint), 1.1))
    assert harness.sent[-1].to == "c1"
    unknown = heartbeat.NotLeader("", 1)
    assert (
        harness.record_sent(harness.session.handle(node.MessageReceived("c1", unknown), 1.2)) == []
    )
    harness.tick(2.1)
    assert [item.to for item in harness.sent[2:]] == ["c1", "c2"]


def test_a_leader_that_falls_silent_is_skipped(harness):
    harness.reply(0.1, whole=FIRST)
    for now in (1.0, 2.0, 3.0):
        harness.tick(now)
    assert [item.to for item in harness.sent] == ["c1", "c1", "c2", "c3"]


def test_a_notice_of_a_newer_version_triggers_a_heartbeat_at_once(harness):
    harness.reply(0.1, whole=FIRST)
    for revision, beats in ((1, 1), (2, 2)):
        notice = heartbeat.RevisionNotice(revision, (0, 0))
        harness.record_sent(harness.session.handle(node.MessageReceived("c1", notice), 0.2))
        assert len(harness.sent) == beats


def test_the_out_of_service_version_never_decreases(harness):
    newer, older = heartbeat.OutOfService(5, ("u1",)), heartbeat.OutOfService(4, ("u2",))
    applied = control_session.OutOfServiceApplied(("u1",))
    assert applied in harness.reply(0.1, whole=FIRST, out_of_service=newer)
    assert harness.reply(0.2, out_of_service=older) == []
    harness.tick(1.0)
    assert harness.sent[-1].message.out_of_service_version == 5


@pytest.mark.parametrize(("version", "beats"), [(5, 0), (6, 1)])
def test_a_notice_of_a_newer_out_of_service_list_triggers_a_heartbeat(harness, version, beats):
    harness.reply(0.1, whole=FIRST, out_of_service=heartbeat.OutOfService(5))
    before = len(harness.sent)
    notice = heartbeat.RevisionNotice(1, (0, 0), version)
    harness.record_sent(harness.session.handle(node.MessageReceived("c1", notice), 0.5))
    assert len(harness.sent) == before + beats


def test_a_leader_that_requests_the_inventory_gets_all_of_it(harness):
    harness.session.upstreams.observe(entry_harness.announcement("u1", 1))
    (first,) = harness.session.report()
    assert (first.to, first.message.whole) == ("c1", False)
    harness.tick(1.0)
    assert harness.sent[-1].message.inventory_digest == harness.session.upstreams.digest != 0
    asked = inventory.ResendInventory("e1")
    harness.session.handle(node.MessageReceived("c1", asked), 1.1)
    (again,) = harness.session.report()
    assert again.message == dataclasses.replace(first.message, whole=True)
