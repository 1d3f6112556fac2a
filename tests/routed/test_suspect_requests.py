"""Requests whose crash verdict changes while they wait for placement."""

import time
import types

import pytest

from medlarfork.gateway import request_pipeline, request_placer, request_types, stopping
from medlarfork.http import reachability_prober
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger
from tests import curio_world

FREE = crash_ledger.Standing()
TRIAL = crash_ledger.Standing(crash_ledger.Verdict.TRIAL, 2, key="k")
HELD = crash_ledger.Standing(crash_ledger.Verdict.HELD, 3, 30.0, "k")


class Crashes:
    """A fake tracker that returns a list of verdicts in order, and then repeats the last."""

    def __init__(self, *standings):
        self.standings = list(standings)

    def standing(self, keys):
        return self.standings.pop(0) if len(self.standings) > 1 else self.standings[0]

    async def is_suspect(self, keys, upstream_id, broken_runs):
        return self.standing(keys).verdict is crash_ledger.Verdict.HELD

    def record_abandoned_run(self, keys, upstream, *, has_begun=False):
        pass


class Owner:
    """A fake owner that records trial keys and released placements."""

    def __init__(self):
        self.refuses_trials = False
        self.cause = placement_messages.RefusalCause.TRIAL
        self.asked = []
        self.released = 0

    def new_ticket_id(self):
        return f"t-{len(self.asked)}"

    async def place(self, request):
        self.asked.append(request.trial_key)
        if request.trial_key and self.refuses_trials:
            return placement_messages.PlaceRefused(request.ticket_id, 1000.0, "", self.cause)
        return placement_messages.Placed(request.ticket_id, "u-1")

    def report_end(self, ticket_id, end, after_ms, pauses=None, load=None):
        self.released += end is placement_messages.RunEnd.CANCELLED


class Exchange:
    """A fake exchange that records the answer."""

    started = False
    head = types.SimpleNamespace(headers={}, method="POST", target="/p/x")

    async def respond(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class SentError(Exception):
    """Raised when the request is sent."""


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
def serve(owner, make_route):
    """Return a function that serves one request and returns its exchange."""

    def serve_one(*standings, find_upstream=_sent):
        exchange = Exchange()
        metadata = types.SimpleNamespace(
            prompt_segments=(),
            output_tokens=0,
            last_event_id="",
            attempt_id="a-1",
            deadline_ms=None,
        )
        now = time.monotonic()
        admitted = request_types.AdmittedRequest(
            exchange, metadata, make_route(), "k", "engines", "shop", 0, b"", now, now + 5.0
        )
        shared = types.SimpleNamespace(
            owner=owner,
            crashes=Crashes(*standings),
            session=types.SimpleNamespace(
                shards=lambda service, key, version: (placement_messages.Shard(service), None),
                find_upstream=find_upstream,
                is_replaced=lambda upstream: False,
            ),
            zone="z1",
            backpressure=types.SimpleNamespace(may_send=lambda upstream_id: True),
            budget=None,
            open_answer=None,
            runs=stopping.RunGuard(),
            tracking=reachability_prober.ReachabilityProber("e-1", lambda: None),
        )
        curio_world.run(request_pipeline.RequestPipeline(admitted, shared).serve)
        return exchange

    return serve_one


def _sent(upstream_id):
    raise SentError


@pytest.mark.parametrize(
    "standings", [(HELD,), (FREE, HELD), (TRIAL, HELD)], ids=["held", "from free", "on trial"]
)
def test_a_request_held_while_it_waits_is_refused_and_not_sent(serve, owner, standings):
    exchange = serve(*standings)
    assert exchange.status == 503
    assert float(exchange.headers["Retry-After"]) == 30.0
    assert b'"ends_upstreams"' in exchange.body
    assert owner.released == len(standings) - 1


@pytest.mark.parametrize(
    ("standings", "asked"),
    [((FREE,), [""]), ((TRIAL,), ["k"]), ((TRIAL, FREE), ["k"]), ((FREE, TRIAL), ["", "k"])],
)
def test_a_suspect_request_is_sent_only_on_a_granted_trial(serve, owner, standings, asked):
    with pytest.raises(SentError):
        serve(*standings)
    assert owner.asked == asked


def test_a_suspect_request_waits_for_the_trial_of_another_and_runs_once_cleared(serve, owner):
    """Equal requests of many callers were refused while the first one's trial cleared them."""
    owner.refuses_trials = True
    with pytest.raises(SentError):
        serve(TRIAL, TRIAL, FREE)
    assert owner.asked == ["k", "k", ""]


def test_a_suspect_request_is_refused_after_the_maximum_trial_wait(serve, owner, monkeypatch):
    monkeypatch.setattr(request_placer, "MAX_TRIAL_WAIT_S", 0.25)
    owner.refuses_trials = True
    exchange = serve(TRIAL)
    assert exchange.status == 503
    assert 2 <= len(owner.asked) <= 5


def test_a_suspect_request_refused_for_another_reason_does_not_wait(serve, owner):
    owner.refuses_trials = True
    owner.cause = placement_messages.RefusalCause.OVERLOAD
    assert serve(TRIAL).status == 503
    assert owner.asked == ["k"]


def test_a_suspect_request_that_becomes_held_does_not_wait(serve, owner):
    owner.refuses_trials = True
    exchange = serve(TRIAL, HELD)
    assert float(exchange.headers["Retry-After"]) == 30.0
    assert owner.asked == ["k"]


class Breaking:
    """Fails the first run; crashes under other requests with the key put it on trial meanwhile."""

    def __init__(self):
        self.runs = 0

    def find(self, upstream_id):
        self.runs += 1
        if self.runs == 1:
            return
        raise SentError


def test_a_request_with_one_broken_run_is_retried_on_trial_after_a_crash_under_another(
    serve, owner
):
    """It got 502 after its second upstream refused the connection; the next one could serve it."""
    with pytest.raises(SentError):
        serve(FREE, FREE, TRIAL, find_upstream=Breaking().find)
    assert owner.asked == ["", "k"]
