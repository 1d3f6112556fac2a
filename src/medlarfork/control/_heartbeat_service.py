"""Heartbeats of entry hosts on the leader: leases, view and configuration updates."""

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
    """Manages the members' leases during each leadership of this replica.

    Attributes:
        views: Changes between the views of this leadership.
    """

    def __init__(
        self,
        log: _control_log.ControlLog,
        out_of_service: Callable[[], heartbeat.OutOfService] = heartbeat.OutOfService,
    ) -> None:
        """Start as a follower; ``out_of_service`` returns the upstreams that are out of service."""
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
        """Return the members' leases; None on a follower."""
        return self._leases

    def start_term(self, term: int, now: float) -> None:
        """Start a leadership, once everything committed before it has been applied."""
        members = self._log.state.member_by_id.values()
        self._leases = _member_leases.MemberLeases(term, members, now)
        self.views = _view_history.ViewHistory(self._leases.view)
        self._lease_lapsed = False
        self._proposal_id = ""
        self._members_differ = False

    def end_term(self) -> None:
        """End the leadership."""
        self._leases = None

    def expire(self, now: float) -> None:
        """Expire members' leases; none while this leader's own lapses and heartbeats are lost."""
        if self._leases is None:
            return
        if not self._log.holds_lease(now):
            self._lease_lapsed = True
            return
        if self._lease_lapsed:
            self._lease_lapsed = False
            self._leases.extend(now)
        self._leases.expire(now)

    def handle_heartbeat(self, beat: heartbeat.Heartbeat, now: float) -> list[Any]:
        """Renew the sender's lease and reply; the caller has checked that this replica leads."""
        assert self._leases is not None
        if not self._leases.renew(beat, now):
            return []
        actions = self._publish(now)
        actions.append(node.Send(beat.member.entry_id, self._reply(beat)))
        return actions

    def publish_changes(self, now: float) -> list[Any]:
        """Publish a due view, and propose joins and leaves to the log."""
        if self._leases is None or not self._log.holds_lease(now):
            return []
        actions = self._publish(now)
        if self._members_differ and not self._proposal_id:
            self._members_differ = False
            self._propose_members(self._leases.view, now)
        return actions

    def notices(self) -> list[Any]:
        """Return a notice of the current revision and view for each member."""
        if self._leases is None:
            return []
        revision = self._log.state.current.revision
        notice = heartbeat.RevisionNotice(
            revision, self._leases.view.version, self._out_of_service().version
        )
        return [node.Send(lease.member.entry_id, notice) for lease in self._leases.leases]

    def on_applied(self, proposal_id: str) -> None:
        """Handle an applied proposal."""
        if proposal_id == self._proposal_id:
            self._proposal_id = ""

    def on_refused(self, proposal_id: str) -> None:
        """Handle a refused proposal; its content is proposed again."""
        if proposal_id == self._proposal_id:
            self._proposal_id = ""
            self._members_differ = True

    def next_due(self) -> float:
        """Return when ``publish_changes`` is due; infinity if never."""
        if self._leases is None or self._lease_lapsed:
            return math.inf
        return self._leases.next_due()

    def _reply(self, beat: heartbeat.Heartbeat) -> heartbeat.HeartbeatReply:
        assert self._leases is not None
        view = self._leases.view
        current = self._log.state.current
        full_copy = delta = None
        if beat.revision != current.revision:
            delta = self._deltas.since(beat.revision)
            full_copy = current if delta is None else None
        view_is_old = beat.view_version < view.version
        view_delta = self.views.since(beat.view_version) if view_is_old else None
        out = self._out_of_service()
        return heartbeat.HeartbeatReply(
            number=beat.number,
            term=self._log.term,
            revision=current.revision,
            whole=full_copy,
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
        self.views.record(published)
        if not published.joined and not published.left:
            # Loads are not urgent: they are sent with the replies to the next heartbeats.
            return []
        self._members_differ = True
        joined = tuple(item.entry_id for item in published.joined)
        left = tuple(item.entry_id for item in published.left)
        version = published.view.version
        return [control_types.ViewPublished(version, joined, left), *self.notices()]

    def _propose_members(self, view: member.View, now: float) -> None:
        """Propose the differences between the view and the members in the log."""
        logged_by_id = self._log.state.member_by_id
        joined = tuple(
            item
            for item in view.members
            if _member_leases.differs(logged_by_id.get(item.entry_id), item)
        )
        left = tuple(
            item for item in logged_by_id.values() if item.entry_id not in view.member_by_id
        )
        if joined or left:
            command = replicated_state.MembersChanged(self._log.unix_ms(now), joined, left)
            self._proposal_id = self._log.propose(command)
