"""Embed the fenced lease alone: two workers, one log, no other part of the router.

The log here is a list in this process; in production it is any replicated log whose commands are
applied in one order. Run it with ``python -m examples.lease``.
"""

from __future__ import annotations

from typing import Any

from medlarfork import node
from medlarfork.orders import fenced_lease, lease_table, lease_types


class Worker:
    """Contend for the lease ``reports`` and say when it may act."""

    def __init__(self, name: str, table: lease_table.LeaseTable) -> None:
        """Use a log's lease table; ``name`` must differ for each start of a process."""
        self.name = name
        self._table = table
        settings = fenced_lease.LeaseSettings("reports", name, duration_s=6.0, renew_s=2.0)
        self.lease = fenced_lease.FencedLease(settings)

    def handle(self, event: Any, now: float) -> None:
        """Give an event to the lease and perform its actions."""
        for action in self.lease.handle(event, now):
            match action:
                case lease_types.Propose(lease_types.TakeLease() as take):
                    reply = self._table.apply_command(take)
                    self.handle(lease_types.TakeCommitted(take.attempt, reply), now)
                case lease_types.Propose(lease_types.RenewLease() as renewal):
                    reply = self._table.apply_command(renewal)
                    self.handle(lease_types.RenewCommitted(renewal.attempt, reply), now)
                case lease_types.Acquired(fence):
                    print(f"t={now:4.1f} {self.name} acquired the lease with fence {fence}")
                case lease_types.Lost(fence):
                    print(f"t={now:4.1f} {self.name} lost the lease with fence {fence}")


def main() -> None:
    """Freeze the holder for ten seconds; the other worker takes over with a higher fence."""
    table = lease_table.LeaseTable()
    first, second = Worker("first", table), Worker("second", table)
    first.handle(node.Started(), 0.0)
    second.handle(node.Started(), 0.0)
    for tenth in range(1, 200):
        now = tenth / 10
        if not 5.0 <= now < 15.0:
            first.handle(node.TimeDue(), now)
        second.handle(node.TimeDue(), now)
    for worker in (first, second):
        print(f"{worker.name} may act: {worker.lease.may_act(20.0)}")


if __name__ == "__main__":
    main()
