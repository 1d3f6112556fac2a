"""An entry host's session with control: heartbeats, configuration revision, view and lease."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
from collections.abc import Callable
from typing import Any

from medlarfork import errors, heartbeat, member, node
from medlarfork.declared import configuration, configuration_delta
from medlarfork.entry import entry_options, entry_types, inventory_reporter, view_delta
from medlarfork.orders import inventory

_MAX_TRACKED_HEARTBEATS = 32
"""Maximum number of heartbeats tracked; replies to older ones are ignored."""

_MIN_NOTICE_INTERVAL_S = 0.05
"""Minimum time between heartbeats triggered by revision notices, in seconds."""

_LEADER_TIMEOUT_S = 1.5 * heartbeat.HEARTBEAT_PERIOD_S
"""How long a leader that has replied may be silent before the next replica is tried."""

_CANDIDATE_TIMEOUT_S = 0.9 * heartbeat.HEARTBEAT_PERIOD_S
"""How long a replica that has not replied yet may be silent before the next one is tried."""

_INITIAL_NUMBER_BITS = 31
"""Bits of the random number of the first heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewApplied:
    """Action: a newer view was applied; ``previous`` is the one it replaces."""

    previous: member.View


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfServiceApplied:
    """Action: a newer list of upstreams out of service was applied."""

    upstream_ids: tuple[str, ...]


class ControlSession:
    """Sends a heartbeat each period and applies the leader's replies; versions only increase.

    Attributes:
        upstreams: Reporter of the upstreams whose pools are owned here.
    """

    def __init__(
        self,
        options: entry_options.EntryNodeOptions,
        *,
        generator: random.Random,
        member_now: Callable[[], member.Member],
    ) -> None:
        """Start without a configuration; ``member_now`` returns this host's member record."""
        self._options = options
        self._member_now = member_now
        # Random, so that a reply to a heartbeat of an earlier incarnation matches none of this one.
        self._number = generator.getrandbits(_INITIAL_NUMBER_BITS)
        self._sent_at_by_number: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._sent_at = -math.inf
        self._last_reply_at = -math.inf
        self._proven_at = -math.inf
        self._lease_renewed_at = -math.inf
        self._target = 0
        self._unanswered_since = math.inf
        self._needs_full_configuration = False
        self._needs_full_view = False
        self._current = heartbeat.RevisionedConfiguration(0, configuration.Configuration())
        self._out_of_service_version = 0
        self.upstreams = inventory_reporter.InventoryReporter(options.entry_id)
        self.view = member.View()
        self.wake_at = -math.inf

    @property
    def revision(self) -> int:
        """Return the configuration revision in force; 0 if there is none yet."""
        return self._current.revision

    @property
    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current.configuration

    @property
    def leader_id(self) -> str:
        """Return the control replica that heartbeats currently go to."""
        return self._options.control_ids[self._target] if self._options.control_ids else ""

    def proof_age_s(self, now: float) -> float:
        """Return the time since the configuration was last proved current, in seconds."""
        return now - self._proven_at

    def is_proven(self, now: float) -> bool:
        """Return whether the configuration was proved current within ``proof_s``."""
        return self.proof_age_s(now) <= self._options.proof_s

    def holds_lease(self, now: float) -> bool:
        """Return whether this host's lease is certain to be valid at control."""
        return now - self._lease_renewed_at < heartbeat.MEMBER_LEASE_S

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle a start, a message of a control replica, or a due timer."""
        match event:
            case node.Started():
                return self._beat(now)
            case node.TimeDue():
                return self._beat(now) if now >= self.wake_at else ()
            case node.MessageReceived(sender, message) if sender in self._options.control_ids:
                return self._on_message(sender, message, now)
            case _:
                return ()

    def beat(self, now: float, *, leaving: bool = False) -> tuple[Any, ...]:
        """Send a heartbeat at once, for example after a change of this host's state."""
        return self._beat(now, leaving=leaving)

    def report(self) -> tuple[Any, ...]:
        """Send pending inventory reports to control."""
        reports = self.upstreams.pop_reports() if self._options.control_ids else ()
        return tuple(node.Send(self.leader_id, report) for report in reports)

    def _on_message(self, sender: str, message: Any, now: float) -> tuple[Any, ...]:
        match message:
            case heartbeat.HeartbeatReply():
                return self._on_reply(sender, message, now)
            case heartbeat.NotLeader(leader_id):
                return self._on_not_leader(sender, leader_id, now)
            case inventory.ResendInventory(entry_id) if entry_id == self._options.entry_id:
                self.upstreams.resend()
                return ()
            case heartbeat.RevisionNotice(revision, version, out_version):
                if sender != self.leader_id and version[:1] > self.view.version[:1]:
                    # The sender leads a newer term; the current target may never reply again.
                    self._switch_target(self._options.control_ids.index(sender))
                out_is_newer = out_version > self._out_of_service_version
                if revision > self.revision or version > self.view.version or out_is_newer:
                    self.wake_at = min(self.wake_at, self._sent_at + _MIN_NOTICE_INTERVAL_S)
                return self._beat(now) if now >= self.wake_at else ()
            case _:
                return ()

    def _beat(self, now: float, *, leaving: bool = False) -> tuple[Any, ...]:
        self.wake_at = now + heartbeat.HEARTBEAT_PERIOD_S
        if not self._options.control_ids:
            return ()
        if self._target_timed_out(now):
            self._switch_target((self._target + 1) % len(self._options.control_ids))
        self._unanswered_since = min(self._unanswered_since, now)
        self._number += 1
        self._sent_at = now
        self._sent_at_by_number[self._number] = now
        if len(self._sent_at_by_number) > _MAX_TRACKED_HEARTBEATS:
            self._sent_at_by_number.popitem(last=False)
        # Revision 0 requests the full configuration.
        revision = 0 if self._needs_full_configuration else self.revision
        beat = heartbeat.Heartbeat(
            self._member_now(),
            self._number,
            revision,
            # Version (0, 0) requests the full view.
            (0, 0) if self._needs_full_view else self.view.version,
            leaving,
            self.upstreams.digest,
            self._out_of_service_version,
        )
        return (node.Send(self.leader_id, beat),)

    def _on_not_leader(self, sender: str, leader_id: str, now: float) -> tuple[Any, ...]:
        if sender != self.leader_id:
            return ()
        if leader_id in self._options.control_ids and leader_id != sender:
            self._switch_target(self._options.control_ids.index(leader_id))
            return self._beat(now)
        # That replica knows no leader: try the next one after a period, not in a busy loop.
        self._switch_target((self._target + 1) % len(self._options.control_ids))
        return ()

    def _target_timed_out(self, now: float) -> bool:
        if self._last_reply_at >= self._unanswered_since:
            return now - self._last_reply_at >= _LEADER_TIMEOUT_S
        return now - self._unanswered_since >= _CANDIDATE_TIMEOUT_S

    def _switch_target(self, target: int) -> None:
        self._target = target
        self._unanswered_since = math.inf

    def _on_reply(
        self, sender: str, reply: heartbeat.HeartbeatReply, now: float
    ) -> tuple[Any, ...]:
        sent_at = self._sent_at_by_number.get(reply.number)
        if sent_at is None:
            return ()
        self._last_reply_at = now
        self._unanswered_since = min(self._unanswered_since, now)
        self._target = self._options.control_ids.index(sender)
        # The leader renewed the lease after the heartbeat was sent, so counting from then is safe.
        self._lease_renewed_at = max(self._lease_renewed_at, sent_at)
        actions = [
            *self._apply_configuration(reply),
            *self._apply_view(reply),
            *self._apply_out_of_service(reply),
        ]
        if self.revision >= reply.revision > 0:
            self._proven_at = max(self._proven_at, sent_at)
        return tuple(actions)

    def _apply_configuration(self, reply: heartbeat.HeartbeatReply) -> tuple[Any, ...]:
        newer = self._received_configuration(reply)
        if newer is None or newer.revision <= self.revision:
            return ()
        self._current = newer
        self._needs_full_configuration = False
        return (entry_types.ConfigurationApplied(newer.revision),)

    def _received_configuration(
        self, reply: heartbeat.HeartbeatReply
    ) -> heartbeat.RevisionedConfiguration | None:
        if reply.whole is not None:
            return reply.whole
        delta = reply.delta
        if delta is None or delta.base_revision != self.revision:
            return None
        try:
            return configuration_delta.apply(self._current, delta)
        except errors.ConfigurationError:
            self._needs_full_configuration = True
            return None

    def _apply_view(self, reply: heartbeat.HeartbeatReply) -> tuple[ViewApplied, ...]:
        newer = self._received_view(reply)
        if newer is None or newer.version <= self.view.version:
            return ()
        previous = self.view
        self.view = newer
        return (ViewApplied(previous),)

    def _received_view(self, reply: heartbeat.HeartbeatReply) -> member.View | None:
        if reply.view is not None:
            self._needs_full_view = False
            return reply.view
        delta = reply.view_delta
        # A delta from another base answers an older heartbeat; a later reply has the matching one.
        if delta is None or delta.base_version != self.view.version:
            return None
        newer = view_delta.apply(self.view, delta)
        self._needs_full_view = newer is None and delta.version > self.view.version
        return newer

    def _apply_out_of_service(
        self, reply: heartbeat.HeartbeatReply
    ) -> tuple[OutOfServiceApplied, ...]:
        out = reply.out_of_service
        if out is None or out.version <= self._out_of_service_version:
            return ()
        self._out_of_service_version = out.version
        return (OutOfServiceApplied(out.upstream_ids),)
