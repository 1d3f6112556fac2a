"""Decide which entry hosts own each pool in a view."""

from __future__ import annotations

from medlarfork import member, rendezvous
from medlarfork.declared import configuration

RANKED_HOSTS = 3
"""How many entry hosts are asked for a pool, one after the other."""

SERVING_HOSTS = 2
"""How many of them, the owner and its standby, hear announcements and accept tickets."""


class Ownership:
    """Rank the live serving entry hosts for each pool of one configuration and view."""

    def __init__(
        self,
        entry_id: str,
        declared: configuration.Configuration,
        view: member.View,
        previous: Ownership | None = None,
    ) -> None:
        """Rank within a configuration and a view.

        Args:
            entry_id: The host that asks.
            previous: The ranking before this one; it saves most of the work if few entry hosts
                came or went since.
        """
        self._entry_id = entry_id
        self._candidates = frozenset(_candidates(entry_id, declared, view))
        self._owners_by_pool: dict[str, tuple[str, ...]] = {}
        self._previous_by_pool: dict[str, tuple[str, ...]] = {}
        self._joined: frozenset[str] = frozenset()
        if previous is not None:
            self._previous_by_pool = previous._owners_by_pool
            self._joined = self._candidates - previous._candidates
        self._pools_by_service = {
            service.name: tuple(pool_name(service.name, shard) for shard in range(service.shards))
            for service in declared.services
        }
        self._service_by_pool = {
            pool: service for service, pools in self._pools_by_service.items() for pool in pools
        }

    def pools(self, service: str) -> tuple[str, ...]:
        """Return the service's pools; none if it is not declared."""
        return self._pools_by_service.get(service, ())

    def service_of(self, pool: str) -> str:
        """Return the pool's service; an empty text if the pool does not exist."""
        return self._service_by_pool.get(pool, "")

    def owners(self, pool: str) -> tuple[str, ...]:
        """Return owner, standby and next of a pool; none if it does not exist."""
        if pool not in self._service_by_pool:
            return ()
        owners = self._owners_by_pool.get(pool)
        if owners is None:
            owners = rendezvous.rank(pool, self._contenders(pool))[:RANKED_HOSTS]
            self._owners_by_pool[pool] = owners
        return owners

    def _contenders(self, pool: str) -> frozenset[str]:
        """Return the hosts among which the pool's best are.

        While none of the best has gone, only those and the newcomers can be among the best.
        """
        before = frozenset(self._previous_by_pool.get(pool, ()))
        if before and before <= self._candidates:
            return before | self._joined
        return self._candidates

    def serving_hosts(self, pool: str) -> tuple[str, ...]:
        """Return the owner and the standby of a pool."""
        return self.owners(pool)[:SERVING_HOSTS]

    def owns(self, pool: str) -> bool:
        """Return whether the asking host is the pool's owner."""
        return self.owners(pool)[:1] == (self._entry_id,)

    def serves(self, pool: str) -> bool:
        """Return whether the asking host accepts tickets of the pool, as owner or standby."""
        return self._entry_id in self.serving_hosts(pool)


def pool_name(service: str, shard: int) -> str:
    """Return the name of one pool of a service."""
    return f"{service}/{shard}"


def pool_of_upstream(service: configuration.Service, upstream_id: str) -> str:
    """Return the pool of the service that an upstream belongs to."""
    return pool_name(service.name, rendezvous.shard(upstream_id, service.shards))


def _candidates(
    entry_id: str, declared: configuration.Configuration, view: member.View
) -> tuple[str, ...]:
    drained = frozenset(declared.drained_entries)
    serving = tuple(
        item.entry_id
        for item in view.members
        if item.state is member.MemberState.SERVING and item.entry_id not in drained
    )
    everybody = tuple(item.entry_id for item in view.members)
    return serving or everybody or (entry_id,)
