"""Tests of the events that an entry host's pools get when it becomes their owner."""

import pytest

from medlarfork import member, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.entry import entry_pools, pool_directory
from medlarfork.pool import ownership, pool_events

_DECLARED = configuration.Configuration(
    services=(configuration.Service("lm", configuration.ServiceKind.MODEL, "app=lm", slots=2),)
)


class Recorder:
    """Scheduler that records every event and takes no action."""

    def __init__(self):
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return ()

    def pop_events(self, *kinds):
        found = [event for event in self.events if isinstance(event, kinds)]
        self.events = []
        return found


class Host:
    """Pools of the entry host that is the standby of ``lm/0``."""

    def __init__(self):
        self.first, self.name = self._make_ownership("", "e1", "e2").owners("lm/0")
        self.recorder = Recorder()
        self.directory = pool_directory.PoolDirectory(self.name)
        self.pools = entry_pools.EntryPools(self.name, self.directory, lambda _: self.recorder)
        self.apply(0.0, "e1", "e2")
        ready = upstream.UpstreamState.READY
        self.announcement = upstream.Announcement("u1", 1, 1, ready, "http://u1", {"app": "lm"})
        self.directory.handle_announcement(self.announcement, 0.6)

    def _make_ownership(self, name, *entry_ids):
        serving = member.MemberState.SERVING
        members = tuple(member.Member(item, 1, serving, "", "") for item in entry_ids)
        return ownership.Ownership(name, _DECLARED, member.View((1, 1), members))

    def apply(self, now, *entry_ids):
        owned = self._make_ownership(self.name, *entry_ids)
        self.directory.apply(_DECLARED, owned, now)
        self.pools.apply(_DECLARED, owned, now)


@pytest.fixture
def host():
    return Host()


_RECORDED = (pool_events.UpstreamUp, pool_events.TookOver)


def test_a_new_owners_pool_gets_the_announcement_ages_and_the_takeover_event(host):
    host.apply(1.0, host.name)
    assert host.recorder.pop_events(*_RECORDED) == [
        pool_events.UpstreamUp(host.announcement, pytest.approx(0.4)),
        pool_events.TookOver(),
    ]
    host.apply(2.0, host.name)
    assert host.recorder.pop_events(*_RECORDED) == []


def test_a_standbys_pool_is_notified_when_the_standby_becomes_the_owner(host):
    asked = ticket.Ticket("r.1", "e3", "lm/0", "a", "chat", 1, 0.0, 9.0)
    host.pools.on_message("e3", asked, 0.7)
    assert pool_events.TookOver() not in host.recorder.pop_events(*_RECORDED)
    host.apply(1.0, host.name)
    assert host.recorder.pop_events(*_RECORDED) == [pool_events.TookOver()]
