"""HTTP answers become events, and nothing is sent after the lease has ended."""

import curio
import msgspec
import pytest

from medlarfork import errors
from medlarfork.orders import order_client, order_types

LOAD = order_types.LoadWeights(order_types.Weights("m", "v1", 10), 5.0)


class FakeResponse:
    def __init__(self, status, body=b""):
        self.status = status
        self.headers = {}
        self.body = body
        self.closed = False

    async def read(self):
        return self.body

    async def close(self):
        self.closed = True


class FakeClient:
    """HTTP client that returns one response or raises one error, and records requests."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.requests = []

    async def request(self, address, method, target, headers, body, *, timeout_s=None):
        self.requests.append((address, method, target, body, timeout_s))
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class FakeLease:
    fence = 3

    def __init__(self, held=True):
        self.held = held

    def may_act(self, now):
        return self.held


def order(action=LOAD, not_after=10.0):
    return order_types.OrderEngine("e1", "http://127.0.0.1:1", 3, "3-1", action, not_after, 60.0)


def send(outcome, action=LOAD, now=9.0, lease=None):
    fake = FakeClient(outcome)
    client = order_client.OrderClient(fake, lease=lease or FakeLease(), clock=lambda: now)
    return fake, curio.run(client.order, order(action))


@pytest.mark.parametrize(
    ("outcome", "result"),
    [
        (FakeResponse(200), order_types.OrderResult.DONE),
        (FakeResponse(409), order_types.OrderResult.REFUSED_FENCE),
        (FakeResponse(422), order_types.OrderResult.FAILED),
        (FakeResponse(500), order_types.OrderResult.UNKNOWN),
        (errors.UpstreamError("cut", remedy="x."), order_types.OrderResult.UNKNOWN),
        (errors.RequestNotSentError("no", remedy="x."), order_types.OrderResult.FAILED),
    ],
)
def test_answers_become_results(outcome, result):
    fake, done = send(outcome)
    assert done == order_types.OrderDone("3-1", result)
    assert len(fake.requests) == 1


def test_an_order_is_not_sent_after_its_deadline():
    fake, done = send(FakeResponse(200), now=10.0)
    assert fake.requests == []
    assert done.result is order_types.OrderResult.FAILED


@pytest.mark.parametrize("fence", [3, 4])
def test_an_order_is_not_sent_after_its_lease_has_ended(fence):
    lease = FakeLease(held=fence != 3)
    lease.fence = fence
    fake, done = send(FakeResponse(200), lease=lease)
    assert fake.requests == []
    assert done.result is order_types.OrderResult.FAILED


@pytest.mark.parametrize(
    ("action", "body_fields"),
    [
        (LOAD, {"action": "load_model", "name": "m", "version": "v1", "bytes_per_second": 5.0}),
        (order_types.ChangeRole("decode"), {"action": "change_role", "role": "decode"}),
    ],
)
def test_an_order_carries_its_id_fence_and_action(action, body_fields):
    fake, _ = send(FakeResponse(200), action)
    _, method, target, body, timeout_s = fake.requests[0]
    sent = msgspec.json.decode(body)
    assert (method, target, timeout_s) == ("POST", "/v1/orders", 60.0)
    assert {"order_id": "3-1", "fence": 3} | body_fields == {
        key: value for key, value in sent.items() if key != "size_bytes"
    }


@pytest.mark.parametrize(
    ("outcome", "state"),
    [
        (
            FakeResponse(200, b'{"incarnation":4,"weights":[{"name":"m","version":"v1"}]}'),
            order_types.EngineState(4, (order_types.LoadedWeights("m", "v1"),)),
        ),
        (FakeResponse(200, b"not json"), None),
        (FakeResponse(503), None),
        (errors.UpstreamError("cut", remedy="x."), None),
    ],
)
def test_a_state_is_read(outcome, state):
    client = order_client.OrderClient(FakeClient(outcome), lease=FakeLease())
    action = order_types.ReadEngineState("e1", "http://127.0.0.1:1", 7)
    assert curio.run(client.read_state, action) == order_types.EngineStateRead("e1", 7, state)
