"""Ownership of pools: which entry hosts own each pool in a cluster view."""

from __future__ import annotations

from medlarfork import member, rendezvous
from medlarfork.declared import configuration

RANKED_HOSTS = 3
"""How many entry hosts are ranked for a pool, to be tried in order."""

SERVING_HOSTS = 2
"""How many of them receive announcements and accept tickets: the owner and its standby."""


class Ownership:
    """Rank the serving entry hosts for each pool of one configuration and view."""

    def __init__(
        self,
        entry_id: str,
        declared: configuration.Configuration,
        view: member.View,
        previous: Ownership | None = None,
    ) -> None:
        """Create the ranking for a configuration and a view.

        Args:
            entry_id: The entry host that evaluates the ranking.
            declared: The configuration.
            view: The cluster view.
            previous: The ranking before this one; it saves most of the work if few entry hosts
                joined or left since.
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
        """Return the service's pools; empty if it is not declared."""
        return self._pools_by_service.get(service, ())

    def service_of(self, pool: str) -> str:
        """Return the pool's service; an empty string if the pool does not exist."""
        return self._service_by_pool.get(pool, "")

    def owners(self, pool: str) -> tuple[str, ...]:
        """Return the pool's owner, standby and the next in rank; empty if it does not exist."""
        if pool not in self._service_by_pool:
            return ()
        owners = self._owners_by_pool.get(pool)
        if owners is None:
            owners = rendezvous.rank(pool, self._candidates_for(pool))[:RANKED_HOSTS]
            self._owners_by_pool[pool] = owners
        return owners

    def _candidates_for(self, pool: str) -> frozenset[str]:
        """Return the hosts to rank for the pool.

        While all previously ranked hosts are still candidates, only they and the hosts that joined
        since can rank highest.
        """
        previous = frozenset(self._previous_by_pool.get(pool, ()))
        if previous and previous <= self._candidates:
            return previous | self._joined
        return self._candidates

    def serving_hosts(self, pool: str) -> tuple[str, ...]:
        """Return the owner and the standby of a pool."""
        return self.owners(pool)[:SERVING_HOSTS]

    def owns(self, pool: str) -> bool:
        """Return whether this host owns the pool."""
        return self.owners(pool)[:1] == (self._entry_id,)

    def serves(self, pool: str) -> bool:
        """Return whether this host accepts tickets of the pool, as owner or standby."""
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
    members = tuple(item.entry_id for item in view.members)
    return serving or members or (entry_id,)
