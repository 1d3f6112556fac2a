"""Test that the pool makes the same grants and sheds, in order, as the reference pool."""

import dataclasses
import random

import pytest

from medlarfork import node, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_events, pool_options
from tests import reference_pool

_POOL = "lm/0"
_OPTIONS = dataclasses.replace(pool_options.NON_ADAPTIVE, max_queued=25)
_SERVICE = configuration.Service("lm", configuration.ServiceKind.MODEL, "", slots=2)
_ACCOUNTS = (
    configuration.Account("a", weight=2.0),
    configuration.Account("b", limits=configuration.AccountLimits(concurrent=5)),
    configuration.Account("c", limits=configuration.AccountLimits(requests_per_second=2.0)),
    configuration.Account("d", limits=configuration.AccountLimits(tokens_per_minute=300)),
)


def _announcement(generator, upstream_id, sequence):
    states = [upstream.UpstreamState.READY] * 9 + [upstream.UpstreamState.LEAVING]
    return upstream.Announcement(
        upstream_id, 1 + sequence // 60, sequence, generator.choice(states), f"http://{upstream_id}",
        slots=generator.choice([0, 1, 3]),
    )  # fmt: skip


def _ticket(generator, number):
    return ticket.Ticket(
        ticket_id=f"r{number}/1",
        entry_id=generator.choice(["e1", "e2"]),
        pool=_POOL,
        account=generator.choice("abcde"),
        class_name="any",
        tier=generator.choice([1, 2, 3, 4]),
        waited_s=generator.choice([0.0, 0.0, 0.5]),
        time_left_s=generator.choice([0.0, 1.0, 5.0, 30.0]),
        resume_offset=generator.choice([0, 0, 0, 7]),
    )


def _events(seed, length=1500):
    """Yield (time, event) with duplicate messages, stale ids and upstreams that join and leave."""
    generator = random.Random(seed)
    now = 0.0
    sent = []
    yield now, pool_events.PolicyChanged((), _ACCOUNTS, _SERVICE)
    for step in range(length):
        now += generator.expovariate(12.0)
        upstream_id = generator.choice(["u1", "u2", "u3", "u4"])
        sent_ticket = generator.choice(sent[-40:]) if sent else _ticket(generator, 0)
        match generator.choices(range(8), [40, 30, 4, 4, 8, 3, 2, 2])[0]:
            case 0:
                sent.append(_ticket(generator, step))
                yield now, sent[-1]
            case 1:
                cause = generator.choice(list(ticket.ReleaseCause))
                yield now, ticket.Release(sent_ticket.ticket_id, _POOL, cause, 0.1, 0.5, 20)
            case 2:
                yield now, ticket.Withdraw(sent_ticket.ticket_id, _POOL)
            case 3:
                yield now, sent_ticket
            case 4:
                yield now, pool_events.UpstreamUp(_announcement(generator, upstream_id, step))
            case 5:
                changed = _announcement(generator, upstream_id, step)
                yield now, pool_events.UpstreamChanged(changed)
            case 6:
                drained = tuple(generator.sample(["u1", "u2", "u3", "u4"], 1))
                yield now, pool_events.PolicyChanged((), _ACCOUNTS, _SERVICE, drained)
            case 7:
                now += generator.choice([0.0, 0.0, 6.0])
                yield now, node.TimeDue()


def _decisions(actions):
    """Return grants and sheds without retry times, which the two pools estimate differently."""
    decisions = [action for action in actions if isinstance(action, ticket.Grant | ticket.Shed)]
    return [
        (
            dataclasses.replace(action, retry_after_s=0.0)
            if isinstance(action, ticket.Shed)
            else action
        )
        for action in decisions
    ]


@pytest.mark.parametrize("seed", range(12))
def test_pool_decides_like_the_reference_pool(seed):
    tested = pool.Pool(name=_POOL, entry_id="e", random=random.Random(seed), options=_OPTIONS)
    reference = reference_pool.ReferencePool(name=_POOL, options=_OPTIONS)
    granted = shed = 0
    for step, (now, event) in enumerate(_events(seed)):
        actual = _decisions(tested.handle(event, now))
        expected = _decisions(reference.handle(event, now))
        assert actual == expected, f"step {step} at {now}: {event}"
        granted += sum(isinstance(action, ticket.Grant) for action in actual)
        shed += sum(isinstance(action, ticket.Shed) for action in actual)
    assert granted > 200
    assert shed > 50
