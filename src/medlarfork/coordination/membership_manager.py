"""Find the other replicas, take new ones into the log, and let go of one that is gone for good."""

from __future__ import annotations

import math
from typing import Any

from medlarfork import node
from medlarfork.coordination import coordination_messages, coordinator_types
from medlarfork.replica import replica, replica_types

HELLO_PERIOD_S = 0.5
"""How often replicas tell each other that they run, in seconds: a new one has then asked several
times before it must have caught up."""

STARTUP_HELLO_PERIOD_S = 0.1
"""How often a replica that has just started asks the others for the upstreams, in seconds: links to
processes that start with it come up within that time, and callers wait for what it learns."""

STARTUP_S = 3.0
"""How long it asks so often, in seconds; then with each hello."""

CHANGE_PERIOD_S = 0.4
"""Pause between requested changes of the membership, in seconds: a few round trips and syncs."""

SILENCE_TIMEOUT_S = 3.0
"""Silence after which a voter may be let go where that shrinks no majority's margin, in seconds:
longer than a process needs to be started again."""


MISSING_AFTER_S = 1.3
"""Silence after which a replica counts as missed, in seconds: more than two of its hellos."""

MISSING_UNTIL_S = 15.0
"""Silence after which it does not any more, in seconds: upstreams have long found another replica
if it is down, and a cut that lasts so long is no passing one."""

HEAL_GRACE_S = 2.5
"""How long a replica that is heard again still counts as missed, in seconds: two periods in which
upstreams announce themselves, until what it heard meanwhile has arrived. Without it replicas drop
upstreams that announced themselves on the other side as soon as a cut is over."""

FORGET_AFTER_S = 60.0
"""Silence after which a replica that is no member is not looked for any more, in seconds."""


class MembershipManager:
    """Decide whom to connect to, and on the leader who is a member; pure."""

    def __init__(self, replica_id: str, seeds: tuple[str, ...]) -> None:
        """Start with the replicas that the settings name."""
        self._replica_id = replica_id
        self._heard_at_by_id: dict[str, float] = {}
        self._seeds = seeds
        self._known: dict[str, None] = dict.fromkeys(seeds)
        self._told_by: set[str] = set()
        self._started_at = math.inf
        self._hello_due = 0.0
        self._change_due = 0.0
        self._changes = 0
        self._leads_since: float | None = None
        self._missed_at = -math.inf

    @property
    def peers(self) -> tuple[str, ...]:
        """Return all other replicas that are known."""
        return tuple(peer for peer in self._known if peer != self._replica_id)

    def hear(self, sender: str, now: float) -> None:
        """Note that a replica sent something."""
        self._heard_at_by_id[sender] = now
        self._known[sender] = None

    def learn(self, replica_ids: tuple[str, ...]) -> None:
        """Note replicas that another one, the log or the settings name."""
        self._known.update(dict.fromkeys(replica_ids))

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use the replicas that changed settings name, beside those that are known."""
        self._seeds = seeds
        self.learn(seeds)

    def has_silent_peer(self, now: float) -> bool:
        """Say whether another replica fell silent lately: upstreams may still be heard there.

        Ask it often: how long ago one was missed is known from the times at which this was asked.
        """
        if any(
            MISSING_AFTER_S < now - heard_at <= MISSING_UNTIL_S
            for heard_at in self._heard_at_by_id.values()
        ):
            self._missed_at = now
        return now - self._missed_at <= HEAL_GRACE_S

    def record_upstreams_received(self, sender: str) -> None:
        """Note that another replica has told all the upstreams that it knew."""
        self._told_by.add(sender)

    def on_time(self, status: replica.ReplicaStatus, *, leads: bool, now: float) -> tuple[Any, ...]:
        """Say hello, and on the leader ask for one change of the membership at a time."""
        actions: list[Any] = []
        if not leads:
            self._leads_since = None
        elif self._leads_since is None:
            self._leads_since = now
        self._started_at = min(self._started_at, now)
        if now >= self._hello_due:
            self._forget_lost(status, now)
            self._hello_due = now + self._hello_period_s(now)
            actions += self._hellos(status, now)
        if leads and status.voters is not None and now >= self._change_due:
            change = self._change(status.voters, now)
            if change is not None:
                self._change_due = now + CHANGE_PERIOD_S
                actions.append(change)
        return tuple(actions)

    def _hellos(self, status: replica.ReplicaStatus, now: float) -> list[Any]:
        if status.voters is not None:
            self.learn((*status.voters.voters, *status.voters.learners))
        known = tuple(
            peer
            for peer in self._known
            if now - self._heard_at_by_id.get(peer, -1e9) < SILENCE_TIMEOUT_S
            or peer == self._replica_id
        )
        actions: list[Any] = []
        for peer in self.peers:
            # Each is asked once: after a restart of all, each has heard other upstreams.
            hello = coordination_messages.ReplicaHello(known, peer not in self._told_by)
            actions.append(coordinator_types.ConnectReplica(peer))
            actions.append(node.Send(peer, hello))
        return actions

    def _hello_period_s(self, now: float) -> float:
        asks = now < self._started_at + STARTUP_S and not self._told_by.issuperset(self.peers)
        return STARTUP_HELLO_PERIOD_S if asks else HELLO_PERIOD_S

    def _is_silent(self, member: str, now: float) -> bool:
        """Say whether a member is silent; a new leader first gives everyone time to speak."""
        led_since = now if self._leads_since is None else self._leads_since
        since = max(self._heard_at_by_id.get(member, -math.inf), led_since)
        return now - since > SILENCE_TIMEOUT_S

    def _forget_lost(self, status: replica.ReplicaStatus, now: float) -> None:
        """Stop looking for replicas that are neither members nor heard of nor named as seeds."""
        voters = status.voters
        members = () if voters is None else (*voters.voters, *voters.learners)
        for peer in tuple(self._known):
            heard_at = self._heard_at_by_id.get(peer)
            if peer in members or peer in self._seeds or heard_at is None:
                continue
            if now - heard_at > FORGET_AFTER_S:
                del self._known[peer]
                del self._heard_at_by_id[peer]

    def _change(
        self, voters: replica_types.Voters, now: float
    ) -> replica_types.ChangeVoters | None:
        """Return the change that is due, if any.

        A voter that is silent is let go only where the number of voters is even: such a group
        survives no more losses than one with a voter fewer, so its successor has then joined.
        """
        members = (*voters.voters, *voters.learners)
        self._changes += 1
        change_id = f"members-{self._replica_id}-{self._changes}"
        for peer, heard_at in self._heard_at_by_id.items():
            if peer not in members and now - heard_at < HELLO_PERIOD_S * 2:
                return replica_types.ChangeVoters(change_id, add=peer)
        silent = [
            member
            for member in members
            if member != self._replica_id and self._is_silent(member, now)
        ]
        silent_learners = [member for member in silent if member in voters.learners]
        if silent_learners:
            return replica_types.ChangeVoters(change_id, remove=silent_learners[0])
        if silent and len(voters.voters) % 2 == 0:
            return replica_types.ChangeVoters(change_id, remove=silent[0])
        return None
