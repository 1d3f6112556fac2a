"""Run the pools that this entry host owns or stands by for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from medlarfork import member, node, ticket
from medlarfork.declared import configuration
from medlarfork.entry import _timer_heap, pool_directory
from medlarfork.pool import owned_pool, ownership, pool_events, pool_view

_RETRY_AFTER_S = 1.0


class EntryPools:
    """Create and give up pools as ownership changes, and route events and answers."""

    def __init__(
        self,
        entry_id: str,
        directory: pool_directory.PoolDirectory,
        make_scheduler: Callable[[str], owned_pool.Scheduler],
    ) -> None:
        """Start without pools.

        Args:
            directory: Knows the upstreams of new pools.
            make_scheduler: Makes the scheduler of a pool by its name.
        """
        self._directory = directory
        self._make_scheduler = make_scheduler
        self._declared = configuration.Configuration()
        self._owned = ownership.Ownership(entry_id, self._declared, member.View())
        self._pool_by_name: dict[str, owned_pool.OwnedPool] = {}
        self._owned_before: frozenset[str] = frozenset()
        self._out_of_service: tuple[str, ...] = ()
        self._timers = _timer_heap.TimerHeap()

    def __len__(self) -> int:
        """Return the number of pools that run here."""
        return len(self._pool_by_name)

    def wake_at(self) -> float:
        """Return when the next pool asks to be woken."""
        return self._timers.earliest()

    def summaries(self, now: float) -> tuple[ticket.PoolSummary, ...]:
        """Return the load of each pool that runs here."""
        return tuple(found.summary(now) for found in self._pool_by_name.values())

    def upstream_views(self) -> dict[tuple[str, str], pool_view.UpstreamView]:
        """Return how the pools that run here see their upstreams, by pool and upstream id."""
        return {
            (pool, view.upstream_id): view
            for pool, found in self._pool_by_name.items()
            for view in found.upstream_views()
        }

    def apply(
        self, declared: configuration.Configuration, owned: ownership.Ownership, now: float
    ) -> tuple[node.Send, ...]:
        """Put a configuration and a view in force."""
        self._declared, self._owned = declared, owned
        told = [*self._give_up()]
        for name in tuple(self._pool_by_name):
            told += self.handle(name, self._policy(name), now)
        names = [pool for service in declared.services for pool in owned.pools(service.name)]
        owned_now = frozenset(pool for pool in names if owned.owns(pool))
        for name in names:
            if name in owned_now:
                told += self._ensure(name, now)
            if name in owned_now - self._owned_before:
                told += self.handle(name, pool_events.TookOver(), now)
        self._owned_before = owned_now
        return tuple(told)

    def set_out_of_service(
        self, upstream_ids: tuple[str, ...], now: float
    ) -> tuple[node.Send, ...]:
        """Give these upstreams no new work from now on, and others that were out some again."""
        self._out_of_service = upstream_ids
        names = tuple(self._pool_by_name)
        return tuple(sent for name in names for sent in self.handle(name, self._policy(name), now))

    def on_message(
        self,
        sender: str,
        message: ticket.Ticket | ticket.Running | ticket.Withdraw | ticket.Release,
        now: float,
    ) -> tuple[node.Send, ...]:
        """Take what the holder of a ticket says; a ticket of somebody else is ignored."""
        match message:
            case ticket.Ticket(entry_id=holder) if holder == sender:
                return self._on_ticket(message, now)
            case ticket.Running(ticket.Ticket(entry_id=holder, pool=pool)) if holder == sender:
                if not self._owned.serves(pool):
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
        """Hand an event to a pool, if it runs here, and return what holders are told."""
        found = self._pool_by_name.get(pool)
        if found is None:
            return ()
        told = found.handle(event, now)
        self._timers.set(pool, found.wake_at)
        return tuple(node.Send(item.entry_id, item) for item in told)

    def take_due(self, now: float) -> tuple[node.Send, ...]:
        """Wake the pools whose time has come."""
        told: list[node.Send] = []
        while (pool := self._timers.pop_due(now)) is not None:
            told += self.handle(str(pool), node.TimeDue(), now)
        return tuple(told)

    def entry_lost(self, entry_id: str, now: float) -> tuple[node.Send, ...]:
        """Tell every pool that an entry host is lost."""
        told: list[node.Send] = []
        for pool in tuple(self._pool_by_name):
            told += self.handle(pool, pool_events.EntryGone(entry_id), now)
        return tuple(told)

    def close(self) -> tuple[node.Send, ...]:
        """Give up every pool; their holders ask the next owner."""
        told = [sent for pool in tuple(self._pool_by_name) for sent in self._close(pool)]
        return tuple(told)

    def _on_ticket(self, asked: ticket.Ticket, now: float) -> tuple[node.Send, ...]:
        """Queue a ticket at a pool that this host owns or stands by for."""
        pool = asked.pool
        if not self._owned.serves(pool):
            return (_turned_away(asked),)
        told = [*self._ensure(pool, now), *self.handle(pool, asked, now)]
        found = self._pool_by_name[pool]
        if found.is_queued(asked.ticket_id):
            told.append(node.Send(asked.entry_id, ticket.Queued(asked.ticket_id, pool)))
            if len(self._owned.pools(self._owned.service_of(pool))) > 1:
                told.append(node.Send(asked.entry_id, found.summary(now)))
        return tuple(told)

    def _ensure(self, pool: str, now: float) -> tuple[node.Send, ...]:
        """Create the pool with its upstreams if it does not run here yet."""
        if pool in self._pool_by_name:
            return ()
        self._pool_by_name[pool] = owned_pool.OwnedPool(pool, self._make_scheduler(pool))
        told = [*self.handle(pool, self._policy(pool), now)]
        for lease in self._directory.in_pool(pool):
            age_s = now - lease.heard_at
            told += self.handle(pool, pool_events.UpstreamUp(lease.announcement, age_s), now)
        return tuple(told)

    def _policy(self, pool: str) -> pool_events.PolicyChanged:
        declared = self._declared
        service = declared.service_by_name[self._owned.service_of(pool)]
        return pool_events.PolicyChanged(
            declared.classes,
            declared.accounts,
            service,
            (*declared.drained_upstreams, *self._out_of_service),
        )

    def _give_up(self) -> tuple[node.Send, ...]:
        told: list[node.Send] = []
        for pool in tuple(self._pool_by_name):
            handed_over = pool in self._owned_before and not self._owned.owns(pool)
            if handed_over or not self._owned.serves(pool):
                told += self._close(pool)
        return tuple(told)

    def _close(self, pool: str) -> tuple[node.Send, ...]:
        found = self._pool_by_name.pop(pool)
        self._timers.clear(pool)
        return tuple(node.Send(shed.entry_id, shed) for shed in found.close())


def _turned_away(asked: ticket.Ticket) -> node.Send:
    shed = ticket.Shed(
        asked.ticket_id, asked.entry_id, asked.pool, ticket.ShedReason.NOT_OWNER, _RETRY_AFTER_S
    )
    return node.Send(asked.entry_id, shed)
