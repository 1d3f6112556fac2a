"""Answer entry hosts' heartbeats on the leader, and keep their leases and the view."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from medlarfork import heartbeat, member, node
from medlarfork.control import (
    _control_log,
    _delta_cache,
    _member_leases,
    _view_history,
    control_types,
    replicated_state,
)


class HeartbeatService:
    """Keep the members' leases for one leadership after the other.

    Attributes:
        views: What changed between the views of this leadership.
    """

    def __init__(
        self,
        log: _control_log.ControlLog,
        out_of_service: Callable[[], heartbeat.OutOfService] = heartbeat.OutOfService,
    ) -> None:
        """Start as a replica that does not lead; ``out_of_service`` lists such upstreams."""
        self._log = log
        self._out_of_service = out_of_service
        self._deltas = _delta_cache.DeltaCache(log.state)
        self._leases: _member_leases.MemberLeases | None = None
        self.views = _view_history.ViewHistory(member.View())
        self._lease_lapsed = False
        self._proposal_id = ""
        self._members_differ = False

    @property
    def leases(self) -> _member_leases.MemberLeases | None:
        """Return the members' leases; None if this replica does not lead."""
        return self._leases

    def begin(self, term: int, now: float) -> None:
        """Begin a leadership; all that was committed before it has been applied."""
        members = self._log.state.member_by_id.values()
        self._leases = _member_leases.MemberLeases(term, members, now)
        self.views = _view_history.ViewHistory(self._leases.view)
        self._lease_lapsed = False
        self._proposal_id = ""
        self._members_differ = False

    def end(self) -> None:
        """End the leadership."""
        self._leases = None

    def expire(self, now: float) -> None:
        """Expire members' leases, unless this side's own lapsed and heartbeats went unheard."""
        if self._leases is None:
            return
        if not self._log.holds_lease(now):
            self._lease_lapsed = True
            return
        if self._lease_lapsed:
            self._lease_lapsed = False
            self._leases.extend(now)
        self._leases.expire(now)

    def take(self, beat: heartbeat.Heartbeat, now: float) -> list[Any]:
        """Renew the sender's lease and answer; the caller has checked that this replica leads."""
        assert self._leases is not None
        if not self._leases.renew(beat, now):
            return []
        actions = self._publish(now)
        actions.append(node.Send(beat.member.entry_id, self._reply(beat)))
        return actions

    def keep(self, now: float) -> list[Any]:
        """Publish a due view, and note joins and leaves in the log."""
        if self._leases is None or not self._log.holds_lease(now):
            return []
        actions = self._publish(now)
        if self._members_differ and not self._proposal_id:
            self._members_differ = False
            self._note_members(self._leases.view, now)
        return actions

    def notices(self) -> list[Any]:
        """Return a notice of the current revision and view to each member."""
        if self._leases is None:
            return []
        revision = self._log.state.current.revision
        notice = heartbeat.RevisionNotice(
            revision, self._leases.view.version, self._out_of_service().version
        )
        return [node.Send(lease.member.entry_id, notice) for lease in self._leases.leases]

    def applied(self, proposal_id: str) -> None:
        """Take note that a proposal was applied."""
        if proposal_id == self._proposal_id:
            self._proposal_id = ""

    def refused(self, proposal_id: str) -> None:
        """Take note that a proposal was refused; what it held is proposed again."""
        if proposal_id == self._proposal_id:
            self._proposal_id = ""
            self._members_differ = True

    def next_time(self) -> float:
        """Return when ``keep`` has something to do; infinity if never."""
        if self._leases is None or self._lease_lapsed:
            return math.inf
        return self._leases.next_time()

    def _reply(self, beat: heartbeat.Heartbeat) -> heartbeat.HeartbeatReply:
        assert self._leases is not None
        view = self._leases.view
        current = self._log.state.current
        whole = delta = None
        if beat.revision != current.revision:
            delta = self._deltas.since(beat.revision)
            whole = current if delta is None else None
        view_is_old = beat.view_version < view.version
        view_delta = self.views.since(beat.view_version) if view_is_old else None
        out = self._out_of_service()
        return heartbeat.HeartbeatReply(
            number=beat.number,
            term=self._log.term,
            revision=current.revision,
            whole=whole,
            delta=delta,
            view=view if view_is_old and view_delta is None else None,
            incarnation=beat.member.incarnation,
            out_of_service=out if beat.out_of_service_version < out.version else None,
            view_delta=view_delta,
        )

    def _publish(self, now: float) -> list[Any]:
        assert self._leases is not None
        published = self._leases.publish(now)
        if published is None:
            return []
        self.views.note(published)
        if not published.joined and not published.left:
            # Loads are not urgent: they go out with the answers to the next heartbeats.
            return []
        self._members_differ = True
        joined = tuple(item.entry_id for item in published.joined)
        left = tuple(item.entry_id for item in published.left)
        version = published.view.version
        return [control_types.ViewPublished(version, joined, left), *self.notices()]

    def _note_members(self, view: member.View, now: float) -> None:
        """Propose how the view differs from the members noted in the log."""
        noted_by_id = self._log.state.member_by_id
        joined = tuple(
            item
            for item in view.members
            if _member_leases.differs(noted_by_id.get(item.entry_id), item)
        )
        left = tuple(
            item for item in noted_by_id.values() if item.entry_id not in view.member_by_id
        )
        if joined or left:
            command = replicated_state.MembersChanged(self._log.unix_ms(now), joined, left)
            self._proposal_id = self._log.propose(command)
