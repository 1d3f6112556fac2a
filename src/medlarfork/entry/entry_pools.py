"""The pools that this entry host owns or is the standby of."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from medlarfork import member, node, ticket
from medlarfork.declared import configuration
from medlarfork.entry import _timer_heap, pool_directory
from medlarfork.pool import owned_pool, ownership, pool_events, pool_view

_RETRY_AFTER_S = 1.0


class EntryPools:
    """Creates and closes pools as ownership changes, and routes events to them."""

    def __init__(
        self,
        entry_id: str,
        directory: pool_directory.PoolDirectory,
        make_scheduler: Callable[[str], owned_pool.Scheduler],
    ) -> None:
        """Start without pools.

        Args:
            directory: Source of the upstreams of new pools.
            make_scheduler: Creates the scheduler of a pool from the pool's name.
        """
        self._directory = directory
        self._make_scheduler = make_scheduler
        self._declared = configuration.Configuration()
        self._pool_ownership = ownership.Ownership(entry_id, self._declared, member.View())
        self._pool_by_name: dict[str, owned_pool.OwnedPool] = {}
        self._previously_owned: frozenset[str] = frozenset()
        self._out_of_service: tuple[str, ...] = ()
        self._timers = _timer_heap.TimerHeap()

    def __len__(self) -> int:
        """Return the number of pools that run here."""
        return len(self._pool_by_name)

    def wake_at(self) -> float:
        """Return when the next pool's timer is due."""
        return self._timers.earliest()

    def summaries(self, now: float) -> tuple[ticket.PoolSummary, ...]:
        """Return the load of each pool that runs here."""
        return tuple(running_pool.summary(now) for running_pool in self._pool_by_name.values())

    def upstream_views(self) -> dict[tuple[str, str], pool_view.UpstreamView]:
        """Return the upstream views of the pools that run here, by pool and upstream id."""
        return {
            (pool, view.upstream_id): view
            for pool, running_pool in self._pool_by_name.items()
            for view in running_pool.upstream_views()
        }

    def apply(
        self, declared: configuration.Configuration, pool_ownership: ownership.Ownership, now: float
    ) -> tuple[node.Send, ...]:
        """Apply a configuration and a view."""
        self._declared, self._pool_ownership = declared, pool_ownership
        sends = [*self._close_unserved()]
        for name in tuple(self._pool_by_name):
            sends += self.handle(name, self._policy(name), now)
        names = [
            pool for service in declared.services for pool in pool_ownership.pools(service.name)
        ]
        owned_now = frozenset(pool for pool in names if pool_ownership.owns(pool))
        for name in names:
            if name in owned_now:
                sends += self._ensure(name, now)
            if name in owned_now - self._previously_owned:
                sends += self.handle(name, pool_events.TookOver(), now)
        self._previously_owned = owned_now
        return tuple(sends)

    def set_out_of_service(
        self, upstream_ids: tuple[str, ...], now: float
    ) -> tuple[node.Send, ...]:
        """Replace the list of upstreams that get no new work."""
        self._out_of_service = upstream_ids
        names = tuple(self._pool_by_name)
        return tuple(sent for name in names for sent in self.handle(name, self._policy(name), now))

    def on_message(
        self,
        sender: str,
        message: ticket.Ticket | ticket.Running | ticket.Withdraw | ticket.Release,
        now: float,
    ) -> tuple[node.Send, ...]:
        """Handle a ticket holder's message; a ticket that names another holder is ignored."""
        match message:
            case ticket.Ticket(entry_id=holder) if holder == sender:
                return self._on_ticket(message, now)
            case ticket.Running(ticket.Ticket(entry_id=holder, pool=pool)) if holder == sender:
                if not self._pool_ownership.serves(pool):
                    return ()
                return (*self._ensure(pool, now), *self.handle(pool, message, now))
            case ticket.Withdraw(pool=pool):
                return self.handle(pool, message, now)
            case ticket.Release(ticket_id, pool):
                released = node.Send(sender, ticket.Released(ticket_id, pool))
                return (*self.handle(pool, message, now), released)
            case _:
                return ()

    def handle(self, pool: str, event: Any, now: float) -> tuple[node.Send, ...]:
        """Pass an event to a pool, if it runs here, and return its messages to ticket holders."""
        running_pool = self._pool_by_name.get(pool)
        if running_pool is None:
            return ()
        sends = running_pool.handle(event, now)
        self._timers.set(pool, running_pool.wake_at)
        return tuple(node.Send(item.entry_id, item) for item in sends)

    def handle_due(self, now: float) -> tuple[node.Send, ...]:
        """Run the timers of the pools that are due."""
        sends: list[node.Send] = []
        while (pool := self._timers.pop_due(now)) is not None:
            sends += self.handle(str(pool), node.TimeDue(), now)
        return tuple(sends)

    def entry_lost(self, entry_id: str, now: float) -> tuple[node.Send, ...]:
        """Notify every pool that an entry host is lost."""
        sends: list[node.Send] = []
        for pool in tuple(self._pool_by_name):
            sends += self.handle(pool, pool_events.EntryGone(entry_id), now)
        return tuple(sends)

    def close(self) -> tuple[node.Send, ...]:
        """Close every pool; ticket holders go to the next owner."""
        sends = [sent for pool in tuple(self._pool_by_name) for sent in self._close(pool)]
        return tuple(sends)

    def _on_ticket(self, incoming: ticket.Ticket, now: float) -> tuple[node.Send, ...]:
        """Queue a ticket at a pool that this host owns or is the standby of."""
        pool = incoming.pool
        if not self._pool_ownership.serves(pool):
            return (_refuse_not_owner(incoming),)
        sends = [*self._ensure(pool, now), *self.handle(pool, incoming, now)]
        running_pool = self._pool_by_name[pool]
        if running_pool.is_queued(incoming.ticket_id):
            sends.append(node.Send(incoming.entry_id, ticket.Queued(incoming.ticket_id, pool)))
            if len(self._pool_ownership.pools(self._pool_ownership.service_of(pool))) > 1:
                sends.append(node.Send(incoming.entry_id, running_pool.summary(now)))
        return tuple(sends)

    def _ensure(self, pool: str, now: float) -> tuple[node.Send, ...]:
        """Create the pool with its upstreams if it does not run here yet."""
        if pool in self._pool_by_name:
            return ()
        self._pool_by_name[pool] = owned_pool.OwnedPool(pool, self._make_scheduler(pool))
        sends = [*self.handle(pool, self._policy(pool), now)]
        for lease in self._directory.in_pool(pool):
            age_s = now - lease.announced_at
            sends += self.handle(pool, pool_events.UpstreamUp(lease.announcement, age_s), now)
        return tuple(sends)

    def _policy(self, pool: str) -> pool_events.PolicyChanged:
        declared = self._declared
        service = declared.service_by_name[self._pool_ownership.service_of(pool)]
        return pool_events.PolicyChanged(
            declared.classes,
            declared.accounts,
            service,
            (*declared.drained_upstreams, *self._out_of_service),
        )

    def _close_unserved(self) -> tuple[node.Send, ...]:
        sends: list[node.Send] = []
        for pool in tuple(self._pool_by_name):
            handed_over = pool in self._previously_owned and not self._pool_ownership.owns(pool)
            if handed_over or not self._pool_ownership.serves(pool):
                sends += self._close(pool)
        return tuple(sends)

    def _close(self, pool: str) -> tuple[node.Send, ...]:
        running_pool = self._pool_by_name.pop(pool)
        self._timers.clear(pool)
        return tuple(node.Send(shed.entry_id, shed) for shed in running_pool.close())


def _refuse_not_owner(incoming: ticket.Ticket) -> node.Send:
    shed = ticket.Shed(
        incoming.ticket_id,
        incoming.entry_id,
        incoming.pool,
        ticket.ShedReason.NOT_OWNER,
        _RETRY_AFTER_S,
    )
    return node.Send(incoming.entry_id, shed)
