"""Tests of the pool directory: order of announcements, leases, moves and forwarding."""

from __future__ import annotations

import dataclasses

import pytest

from medlarfork import member, node, upstream
from medlarfork.entry import entry_types, pool_directory
from medlarfork.pool import ownership
from tests import entry_harness

READY, LEAVING = upstream.UpstreamState.READY, upstream.UpstreamState.LEAVING
POOL = "lm/0"
VIEW = member.View((1, 1), tuple(entry_harness.member_of(f"e{number}") for number in range(1, 5)))
DECLARED = entry_harness.declared()
RANKED = ownership.Ownership("e1", DECLARED, VIEW).owners(POOL)


def directory_of(entry_id, declared=DECLARED, view=VIEW):
    made = pool_directory.PoolDirectory(entry_id)
    made.apply(declared, ownership.Ownership(entry_id, declared, view), 0.0)
    return made


@pytest.fixture
def owner():
    return directory_of(RANKED[0])


def kinds(actions):
    return [
        type(item.event).__name__ if isinstance(item, pool_directory.ToPool) else f"to {item.to}"
        for item in actions
    ]


def announcement_of(sequence, **more):
    return entry_harness.announcement("u1", sequence, **more)


def test_the_owner_stores_an_announcement_and_forwards_it_to_the_standby(owner):
    assert kinds(owner.handle_announcement(announcement_of(1), 0.0)) == [
        "UpstreamUp",
        f"to {RANKED[1]}",
    ]
    assert kinds(owner.handle_announcement(announcement_of(2), 1.0)) == [
        "UpstreamChanged",
        f"to {RANKED[1]}",
    ]


def test_other_hosts_forward_and_list_owner_and_standby_first():
    other = next(item.entry_id for item in VIEW.members if item.entry_id not in RANKED[:2])
    directory = directory_of(other)
    assert kinds(directory.handle_announcement(announcement_of(1), 0.0)) == [
        f"to {item}" for item in RANKED[:2]
    ]
    assert len(directory) == 0
    reply = directory.reply(announcement_of(1), VIEW)
    assert reply.announce_to[:2] == tuple(f"http://{item}" for item in RANKED[:2])
    assert len(reply.announce_to) == 4


@pytest.mark.parametrize(
    "late",
    [
        announcement_of(1),
        announcement_of(2),
        announcement_of(9, incarnation=0),
        announcement_of(2, state=LEAVING),
    ],
)
def test_late_announcements_change_nothing(owner, late):
    owner.handle_announcement(announcement_of(2), 0.0)
    assert owner.handle_announcement(late, 1.0) == ()
    assert owner.leases[0].announced_at == 0.0


def test_leaving_is_final_for_an_incarnation(owner):
    owner.handle_announcement(announcement_of(1), 0.0)
    assert (
        kinds(owner.handle_announcement(announcement_of(2, state=LEAVING), 0.1))[0]
        == "UpstreamChanged"
    )
    assert owner.handle_announcement(announcement_of(3), 0.2) == ()
    assert kinds(owner.expire(3.2)) == ["UpstreamGone"]
    assert owner.handle_announcement(announcement_of(4), 3.3) == ()
    assert (
        kinds(owner.handle_announcement(announcement_of(1, incarnation=2), 3.4))[0] == "UpstreamUp"
    )


def test_a_lease_expires_in_silence_and_announcements_renew_it(owner):
    owner.handle_announcement(announcement_of(1), 0.0)
    owner.handle_announcement(announcement_of(2), 2.0)
    assert owner.expire(4.9) == ()
    assert owner.wake_at() == 5.0
    assert kinds(owner.expire(5.0)) == ["UpstreamGone"]


def test_forwarding_does_not_prolong_the_lease(owner):
    owner.handle_forwarded(entry_types.UpstreamSeen(announcement_of(1), age_s=2.0), 10.0)
    assert kinds(owner.expire(11.0)) == ["UpstreamGone"]
    assert (
        owner.handle_forwarded(entry_types.UpstreamSeen(announcement_of(2), age_s=3.0), 12.0) == ()
    )


def test_a_change_of_selectors_moves_an_upstream_at_once(owner):
    owner.handle_announcement(announcement_of(1, tier="new"), 0.0)
    first = dataclasses.replace(DECLARED.services[0], name="other", selector="tier=new")
    changed = dataclasses.replace(DECLARED, services=(first, *DECLARED.services))
    alone = member.View((1, 2), (entry_harness.member_of(RANKED[0]),))
    moved = owner.apply(changed, ownership.Ownership(RANKED[0], changed, alone), 1.0)
    assert kinds(moved) == ["UpstreamGone", "UpstreamUp"]
    assert [item.pool for item in moved] == [POOL, "other/0"]
    assert owner.leases[0].conflicts == ("lm",)
    none = dataclasses.replace(DECLARED, services=())
    gone = owner.apply(none, ownership.Ownership(RANKED[0], none, alone), 1.0)
    assert (kinds(gone), len(owner)) == (["UpstreamGone"], 0)


def test_new_owners_receive_an_upstream_with_its_age(owner):
    owner.handle_announcement(announcement_of(1), 0.0)
    members = tuple(item for item in VIEW.members if item.entry_id != RANKED[0])
    rest = ownership.Ownership(RANKED[0], DECLARED, member.View((1, 2), members))
    told = owner.apply(DECLARED, rest, 1.5)
    assert len(owner) == 0
    sent = [item for item in told if isinstance(item, node.Send)]
    assert [item.to for item in sent] == [RANKED[2]]
    assert sent[0].message.age_s == 1.5


def test_draining_hosts_own_nothing_unless_all_drain():
    drains = {"state": member.MemberState.DRAINING}
    first, second = entry_harness.member_of("e1", **drains), entry_harness.member_of("e2")
    some = ownership.Ownership("e1", DECLARED, member.View((1, 1), (first, second)))
    assert some.owners(POOL) == ("e2",)
    assert ownership.Ownership("e1", DECLARED, member.View((1, 2), (first,))).owns(POOL)
    assert some.owners("none/0") == ()


def test_only_a_bounded_number_of_upstreams_is_remembered(owner, monkeypatch):
    monkeypatch.setattr(pool_directory, "_MAX_TRACKED", 2)
    for number in range(5):
        owner.handle_announcement(entry_harness.announcement(f"x{number}", 1, app="none"), 0.0)
    assert len(owner._last_by_id) == 2
