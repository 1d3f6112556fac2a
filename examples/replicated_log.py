"""Embed the replicated log alone: three replicas in memory agree on a list of words.

Run it with ``python -m examples.replicated_log``.
"""

from __future__ import annotations

import collections
import random
from typing import Any

from medlarfork import node
from medlarfork.replica import replica, replica_types

IDS = ("one", "two", "three")
WORDS = (b"apron", b"basin", b"candle")


def main() -> dict[str, list[bytes]]:
    """Elect a leader, propose a few words to it, and return what each replica applied."""
    replica_by_id = {
        replica_id: replica.Replica(
            replica_id=replica_id,
            initial_voters=replica_types.Voters(IDS),
            restored=replica_types.Restored(),
            random=random.Random(),
        )
        for replica_id in IDS
    }
    words_by_id: dict[str, list[bytes]] = {replica_id: [] for replica_id in IDS}
    events = collections.deque[tuple[str, Any]]((name, node.Started()) for name in IDS)
    words = list(WORDS)
    now = 0.0
    while min(len(applied) for applied in words_by_id.values()) < len(WORDS):
        if not events:
            now += 0.05
            events.extend((name, node.TimeDue()) for name in IDS)
            leader = next((name for name in IDS if replica_by_id[name].holds_lease(now)), None)
            if leader and words:
                word = words.pop(0)
                events.append((leader, replica_types.Propose(word.decode(), word)))
        name, event = events.popleft()
        for action in replica_by_id[name].handle(event, now):
            match action:
                case node.Send(to=to, message=message):
                    events.append((to, node.MessageReceived(name, message)))
                case node.Persist(token=token):  # memory serves as the disk here
                    events.append((name, node.Synced(token)))
                case replica_types.Apply(command=command):
                    words_by_id[name].append(command)
    return words_by_id


if __name__ == "__main__":
    for replica_id, applied_words in main().items():
        print(replica_id, b" ".join(applied_words).decode())
