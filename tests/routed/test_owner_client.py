"""How an entry host asks owners of placement that come and go."""

import curio
import pytest

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.gateway import owner_client, request_hold
from medlarfork.placement import placement_messages
from tests import curio_world

SHARD = placement_messages.Shard("engines")
HOME = placement_messages.Shard("engines", 0, 2)
OTHER = placement_messages.Shard("engines", 1, 2)
CLOSED = placement_messages.RefusalCause.CLOSED


class Session:
    """Name the owner that a test says."""

    def __init__(self):
        self.owner_id = "r1"
        self.upstream_by_id = {}
        self.has_moved = False
        self.entry_hosts = 2
        self.has_view = True
        self.other_owner_id = "r9"

    def owner(self, shard, now):
        return self.other_owner_id if shard == OTHER else self.owner_id

    def service_shards(self, service):
        return HOME, OTHER

    def resolve_shard(self, shard):
        return shard

    def find_upstream(self, upstream_id):
        return upstream_id

    def shard_of(self, upstream_id):
        return OTHER if self.has_moved else HOME

    def record_contact(self, replica_id, now):
        pass

    def mark_unreachable(self, replica_id):
        self.owner_id = "r2" if replica_id == "r1" else ""
        return True

    def is_unresponsive(self, replica_id, now):
        return replica_id == "r1"


@pytest.fixture
def session():
    return Session()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def told():
    """Return a list of the replicas that were told the signals of upstreams, and of when."""
    return []


@pytest.fixture
def client(session, sent, unreachable, told):
    def send(replica_id, message):
        if replica_id in unreachable:
            return False
        sent.append((replica_id, message))
        return True

    gate = send_gate.SendGate(signal_ledger.SignalLedger())
    return owner_client.OwnerClient("e", session, send, request_hold.HoldQueue(), gate, told.append)


@pytest.fixture
def unreachable():
    return set()


def asked(sent, replica_id):
    questions = [item for to, item in sent if to == replica_id]
    return sum(isinstance(item, placement_messages.PlaceRequest) for item in questions)


def test_a_queued_request_is_sent_again_after_its_owner_changed_twice(
    session, sent, client, make_place_request
):
    """Replay a restart: owners changed twice within 0.25 s, and 33 callers waited in vain."""

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", left_ms=5000.0))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", placement_messages.Queued("t"))
        for owner_id in ("r2", "r1"):
            session.owner_id = owner_id
            client.notify_owners(0.0)
            await client.wake_queued()
        await curio_world.until(lambda: asked(sent, "r1") == 2)
        await client.take("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")

    curio_world.run(main)


def test_a_new_owner_gets_the_estimates_of_the_previous_one(
    session, sent, client, make_place_request
):
    belief = placement_messages.EngineEstimate(41.0, 4096.0, 4.6, 25.0)

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", placement_messages.Placed("t", "u-1", "", belief))
        await placing.join()
        session.owner_id = "r2"
        client.notify_owners(0.0)
        chosen = placement_messages.OwnerChosen(SHARD, is_chosen=True, belief=belief)
        assert ("r2", chosen) in sent

    curio_world.run(main)


@pytest.mark.parametrize("is_silent", [True, False])
def test_the_next_owner_is_asked_at_once_if_the_first_does_not_reply(
    session, sent, client, unreachable, make_place_request, is_silent
):
    """Replay an owner that was killed: for 1 s entry hosts placed by what they knew alone."""

    async def main():
        if not is_silent:
            unreachable.add("r1")
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: asked(sent, "r2") == 1)
        await client.take("r2", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")
        assert client.local_placements == 0

    curio_world.run(main)


def _questions(sent):
    return [
        (to, item.shard, item.begins_within_ms, item.other_shard)
        for to, item in sent
        if isinstance(item, placement_messages.PlaceRequest)
    ]


def test_a_request_to_a_busy_shard_tries_the_other_and_then_queues_at_the_first(
    sent, client, make_place_request
):
    async def main():
        question = make_place_request("t", shard=HOME, other_shard=OTHER)
        placing = await curio.spawn(client.place, question)
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", placement_messages.Busy("t", 900.0))
        await curio_world.until(lambda: asked(sent, "r9") == 1)
        await client.take("r9", placement_messages.Busy("t", 1200.0))
        await curio_world.until(lambda: asked(sent, "r1") == 2)
        await client.take("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")
        assert _questions(sent) == [
            ("r1", HOME, 0.0, OTHER),
            ("r9", OTHER, 900.0, HOME),
            ("r1", HOME, 0.0, None),
        ]

    curio_world.run(main)


def test_a_request_returns_to_the_first_shard_if_the_second_owner_does_not_reply(
    sent, client, make_place_request
):
    async def main():
        question = make_place_request("t", shard=HOME, other_shard=OTHER)
        placing = await curio.spawn(client.place, question)
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", placement_messages.Busy("t", 900.0))
        await curio_world.until(lambda: asked(sent, "r1") == 2)
        cancelled = placement_messages.RunEnd.CANCELLED
        assert ("r9", placement_messages.RunEnded("t", cancelled, 0.0)) in sent
        # What the second grants after all is given back, and does not count.
        await client.take("r9", placement_messages.Placed("t", "u-9"))
        assert sent[-1] == ("r9", placement_messages.RunEnded("t", cancelled, 0.0))
        await client.take("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")

    curio_world.run(main)


@pytest.mark.parametrize("other_owner_id", ["r9", "r1"])
def test_the_new_owner_of_a_moved_upstream_gets_its_running_requests(
    session, sent, client, make_place_request, other_owner_id
):
    session.other_owner_id = other_owner_id
    upstream_id = next(f"u-{n}" for n in range(99) if OTHER.has(f"u-{n}"))

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", placement_messages.Placed("t", upstream_id))
        await placing.join()
        client.report_moved_runs(0.0)
        assert not [item for _, item in sent if isinstance(item, placement_messages.StillRunning)]
        session.has_moved = True
        client.report_moved_runs(0.0)
        cancelled = placement_messages.RunEnd.CANCELLED
        assert ("r1", placement_messages.RunEnded("t", cancelled, 0.0)) in sent
        (told,) = [
            (to, item.upstream_id)
            for to, item in sent
            if isinstance(item, placement_messages.StillRunning)
        ]
        assert told == (other_owner_id, upstream_id)
        client.report_moved_runs(0.1)
        assert sum(isinstance(item, placement_messages.StillRunning) for _, item in sent) == 1
        client.end("t", placement_messages.RunEnd.COMPLETE, 1.0)
        assert sent[-1][0] == other_owner_id

    curio_world.run(main)


@pytest.mark.parametrize("takes", [True, False])
def test_a_request_refused_by_a_closed_shard_tries_the_other_shards_first(
    sent, client, make_place_request, takes
):
    closed = placement_messages.PlaceRefused("t", 3000.0, "closed", CLOSED)
    sooner = placement_messages.PlaceRefused("t", 1000.0, "closed", CLOSED)
    last = placement_messages.Placed("t", "u-1") if takes else sooner

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await client.take("r1", closed)
        await curio_world.until(lambda: asked(sent, "r9") == 1)
        await client.take("r9", last)
        assert await placing.join() == last
        assert _questions(sent) == [("r1", HOME, 0.0, None), ("r9", OTHER, 0.0, None)]

    curio_world.run(main)


def test_an_ordinary_refusal_is_final(sent, client, make_place_request):
    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        refused = placement_messages.PlaceRefused("t", 3000.0, "it would wait too long")
        await client.take("r1", refused)
        assert await placing.join() == refused
        assert asked(sent, "r9") == 0

    curio_world.run(main)


def test_an_owner_gets_the_known_signals_before_the_first_request(
    session, sent, client, told, make_place_request
):
    """One that had just started knew no limit, and placed six requests at once on that upstream."""

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        assert told == ["r1"]
        session.owner_id = "r2"
        client.notify_owners(0.0)
        assert told == ["r1", "r2"]
        await placing.cancel()

    curio_world.run(main)


def test_a_host_without_a_view_sends_no_placement_request(
    session, sent, client, make_place_request
):
    """Owners placed on upstreams that it did not know, and callers were refused for it."""
    session.has_view = False

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", left_ms=5000.0))
        await curio.sleep(0.1)
        assert asked(sent, "r1") == 0
        session.has_view = True
        await client._holds.notify_change()
        await curio_world.until(lambda: asked(sent, "r1") == 1)
        await placing.cancel()

    curio_world.run(main)
