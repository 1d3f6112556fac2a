"""A request whose standing changes while it waits for an upstream."""

import time
import types

import pytest

from medlarfork.gateway import request_run, request_types
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger
from tests import curio_world

FREE = crash_ledger.Standing()
TRIAL = crash_ledger.Standing(crash_ledger.Verdict.TRIAL, 2)
HELD = crash_ledger.Standing(crash_ledger.Verdict.HELD, 3, 30.0)


class Crashes:
    """Say what a test's list says, one after the other, and then the last."""

    def __init__(self, *standings):
        self.standings = list(standings)

    def standing(self, key):
        return self.standings.pop(0) if len(self.standings) > 1 else self.standings[0]

    def run_given_up(self, key, upstream):
        pass


class Owner:
    """Place every request, and note which asked for a trial and which were given back."""

    def __init__(self):
        self.asked = []
        self.given_back = 0

    def new_ticket_id(self):
        return f"t-{len(self.asked)}"

    async def place(self, request):
        self.asked.append(request.trial_key)
        return placement_messages.Placed(request.ticket_id, "u-1")

    def end(self, ticket_id, end, after_ms, pauses=None):
        self.given_back += end is placement_messages.RunEnd.CANCELLED


class Exchange:
    """Take the answer."""

    started = False
    head = types.SimpleNamespace(headers={}, method="POST", target="/p/x")

    async def respond(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class SentError(Exception):
    """The request was sent."""


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
def serve(owner, make_route):
    """Return a function that serves one request and returns its exchange."""

    def serve_one(*standings):
        exchange = Exchange()
        facts = types.SimpleNamespace(
            parts=(), output_tokens=0, last_event_id="", attempt_id="a-1", deadline_ms=None
        )
        now = time.monotonic()
        admitted = request_types.Admitted(
            exchange, facts, make_route(), "k", "engines", "shop", 0, b"", now, now + 5.0
        )
        tools = types.SimpleNamespace(
            owner=owner,
            crashes=Crashes(*standings),
            shards=lambda service, key: (placement_messages.Shard(service), None),
            zone="z1",
            find_upstream=_sent,
            backpressure=types.SimpleNamespace(may_send=lambda upstream_id: True),
        )
        curio_world.run(request_run.RequestRun(admitted, tools).serve)
        return exchange

    return serve_one


def _sent(upstream_id):
    raise SentError


@pytest.mark.parametrize(
    "standings", [(HELD,), (FREE, HELD), (TRIAL, HELD)], ids=["held", "from free", "on trial"]
)
def test_a_request_that_is_held_meanwhile_is_refused_and_not_sent(serve, owner, standings):
    exchange = serve(*standings)
    assert exchange.status == 503
    assert float(exchange.headers["Retry-After"]) == 30.0
    assert b'"ends_upstreams"' in exchange.body
    assert owner.given_back == len(standings) - 1


@pytest.mark.parametrize(
    ("standings", "asked"),
    [((FREE,), [""]), ((TRIAL,), ["k"]), ((TRIAL, FREE), ["k"]), ((FREE, TRIAL), ["", "k"])],
)
def test_a_suspect_is_sent_only_with_the_leave_for_a_trial(serve, owner, standings, asked):
    with pytest.raises(SentError):
        serve(*standings)
    assert owner.asked == asked
