"""Discovery of replicas, and automatic membership changes of the replicated log."""

from __future__ import annotations

import math
from typing import Any

from medlarfork import node
from medlarfork.coordination import coordination_messages, coordinator_types
from medlarfork.replica import replica, replica_types

HELLO_PERIOD_S = 0.5
"""Interval of hello messages between replicas, in seconds: a new replica has sent several before it
has to have caught up."""

STARTUP_HELLO_PERIOD_S = 0.1
"""Interval of hello messages of a replica that has just started and requests the upstreams from the
others, in seconds: links to processes that start at the same time come up within it, and callers
wait for the result."""

STARTUP_S = 3.0
"""How long the shorter interval applies after a start, in seconds."""

CHANGE_PERIOD_S = 0.4
"""Minimum interval between requested membership changes, in seconds: a few round trips and
syncs."""

SILENCE_TIMEOUT_S = 3.0
"""Silence after which a voter may be removed if the group tolerates no fewer losses without it, in
seconds: longer than a process restart."""

TOLERATED_LOSSES = 1
"""How many replicas may be lost at the same time if the settings do not say."""

MIN_REDUCED_VOTERS = 5
"""Number of voters below which no silent voter is removed from an odd group: two of five may only
be cut off, and would otherwise have to rejoin after each short partition."""

MISSING_AFTER_S = 1.3
"""Silence after which a replica counts as missing, in seconds: more than two hello intervals."""

MISSING_UNTIL_S = 15.0
"""Silence after which a replica no longer counts as missing, in seconds: if it is down, upstreams
have found another replica by then, and a partition of this length is not transient."""

HEAL_GRACE_S = 2.5
"""How long a replica that is heard again still counts as missing, in seconds: two announcement
periods, until the announcements that it received meanwhile have arrived. Without it replicas drop
upstreams that announced themselves on the other side as soon as a partition heals."""

FORGET_AFTER_S = 60.0
"""Silence after which a replica that is not a member is forgotten, in seconds."""


class MembershipManager:
    """Decides which replicas to connect to and, on the leader, who is a member. Pure: no I/O."""

    def __init__(
        self,
        replica_id: str,
        seeds: tuple[str, ...],
        tolerated_losses: int = TOLERATED_LOSSES,
    ) -> None:
        """Start with the replicas listed in the settings.

        Args:
            replica_id: Identifies this replica.
            seeds: Replicas listed in the settings.
            tolerated_losses: How many replicas may be lost at the same time, disks included.
        """
        self._replica_id = replica_id
        self._min_voters = max(2 * tolerated_losses + 1, MIN_REDUCED_VOTERS)
        self._heard_at_by_id: dict[str, float] = {}
        self._seeds = seeds
        self._known: dict[str, None] = dict.fromkeys(seeds)
        self._received_from: set[str] = set()
        self._started_at = math.inf
        self._hello_due = 0.0
        self._change_due = 0.0
        self._changes = 0
        self._leading_since: float | None = None
        self._last_missing_at = -math.inf

    @property
    def peers(self) -> tuple[str, ...]:
        """Return all other known replicas."""
        return tuple(peer for peer in self._known if peer != self._replica_id)

    def record_contact(self, sender: str, now: float) -> None:
        """Record that a replica sent a message."""
        self._heard_at_by_id[sender] = now
        self._known[sender] = None

    def add_known(self, replica_ids: tuple[str, ...]) -> None:
        """Add replicas named by another replica, the log or the settings."""
        self._known.update(dict.fromkeys(replica_ids))

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings; known replicas stay."""
        self._seeds = seeds
        self.add_known(seeds)

    def has_silent_peer(self, now: float) -> bool:
        """Return whether another replica fell silent recently and may still receive announcements.

        Call it frequently: the time at which a replica was last missing is only updated by calls.
        """
        if any(
            MISSING_AFTER_S < now - heard_at <= MISSING_UNTIL_S
            for heard_at in self._heard_at_by_id.values()
        ):
            self._last_missing_at = now
        return now - self._last_missing_at <= HEAL_GRACE_S

    def record_upstreams_received(self, sender: str) -> None:
        """Record that another replica has sent all upstreams that it knew."""
        self._received_from.add(sender)

    def on_tick(self, status: replica.ReplicaStatus, *, leads: bool, now: float) -> tuple[Any, ...]:
        """Send due hellos and, on the leader, request at most one membership change at a time."""
        actions: list[Any] = []
        if not leads:
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = now
        self._started_at = min(self._started_at, now)
        if now >= self._hello_due:
            self._remove_lost(status, now)
            self._hello_due = now + self._hello_period_s(now)
            actions += self._hellos(status, now)
        if leads and status.voters is not None and now >= self._change_due:
            change = self._next_change(status.voters, now)
            if change is not None:
                self._change_due = now + CHANGE_PERIOD_S
                actions.append(change)
        return tuple(actions)

    def _hellos(self, status: replica.ReplicaStatus, now: float) -> list[Any]:
        if status.voters is not None:
            self.add_known((*status.voters.voters, *status.voters.learners))
        known = tuple(
            peer
            for peer in self._known
            if now - self._heard_at_by_id.get(peer, -1e9) < SILENCE_TIMEOUT_S
            or peer == self._replica_id
        )
        actions: list[Any] = []
        for peer in self.peers:
            # Every peer has to answer once: after a restart of all, each has heard different
            # upstreams.
            hello = coordination_messages.ReplicaHello(known, peer not in self._received_from)
            actions.append(coordinator_types.ConnectReplica(peer))
            actions.append(node.Send(peer, hello))
        return actions

    def _hello_period_s(self, now: float) -> float:
        is_starting = now < self._started_at + STARTUP_S and not self._received_from.issuperset(
            self.peers
        )
        return STARTUP_HELLO_PERIOD_S if is_starting else HELLO_PERIOD_S

    def _is_silent(self, member: str, now: float) -> bool:
        """Return whether a member is silent; a new leader first waits for everyone's messages."""
        leading_since = now if self._leading_since is None else self._leading_since
        since = max(self._heard_at_by_id.get(member, -math.inf), leading_since)
        return now - since > SILENCE_TIMEOUT_S

    def _remove_lost(self, status: replica.ReplicaStatus, now: float) -> None:
        """Remove silent replicas that are neither members nor seeds."""
        voters = status.voters
        members = () if voters is None else (*voters.voters, *voters.learners)
        for peer in tuple(self._known):
            heard_at = self._heard_at_by_id.get(peer)
            if peer in members or peer in self._seeds or heard_at is None:
                continue
            if now - heard_at > FORGET_AFTER_S:
                del self._known[peer]
                del self._heard_at_by_id[peer]

    def _next_change(
        self, voters: replica_types.Voters, now: float
    ) -> replica_types.ChangeVoters | None:
        """Return the membership change that is due, if any.

        Removals go first: each loss of a voter that follows makes them harder to commit.
        """
        members = (*voters.voters, *voters.learners)
        self._changes += 1
        change_id = f"members-{self._replica_id}-{self._changes}"
        lost = self._removable(voters, now)
        if lost is not None:
            return replica_types.ChangeVoters(change_id, remove=lost)
        for peer, heard_at in self._heard_at_by_id.items():
            if peer not in members and now - heard_at < HELLO_PERIOD_S * 2:
                return replica_types.ChangeVoters(change_id, add=peer)
        return None

    def _removable(self, voters: replica_types.Voters, now: float) -> str | None:
        """Return a silent member that the group is better off without, if any."""
        for learner in voters.learners:
            if self._is_silent(learner, now):
                return learner
        silent = [
            voter
            for voter in voters.voters
            if voter != self._replica_id and self._is_silent(voter, now)
        ]
        if silent and self._gains_from_removal(len(voters.voters), len(silent)):
            return silent[0]
        return None

    def _gains_from_removal(self, voters: int, silent: int) -> bool:
        """Say whether the group tolerates more losses without its silent voters.

        An even group does without one of them, an odd one only without two: with one voter fewer
        its majority is as large. An odd group keeps as many voters as the tolerated losses need,
        since a voter that is only cut off keeps a copy of each entry.
        """
        if voters % 2 == 0:
            return silent > 0
        return silent > 1 and voters - 2 >= self._min_voters
