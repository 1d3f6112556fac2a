"""Send an entry host what it can't use, or leave it in the middle: it goes on serving."""

import contextlib
import json
import socket
import urllib.parse

import pytest

from tests.processes import callers

MEBI = 1 << 20
LONG = "a long story [tokens=1000]"


@pytest.fixture
def deployment(make_deployment):
    """Start one entry host with one engine and one service."""
    made = make_deployment(controls=1, entries=1)
    made.start_engine("engine-1", token_s=0.01, slots=2)
    made.start_service("desk-1")
    return made


def _dial(deployment):
    parts = urllib.parse.urlsplit(deployment.address("entry-1"))
    return socket.create_connection((parts.hostname, parts.port), timeout=callers.LIMIT_S)


def _exchange(deployment, *parts):
    """Send bytes and return all that comes back until the connection ends."""
    received = b""
    with _dial(deployment) as dialled:
        # An entry host may end the connection before it has read everything.
        with contextlib.suppress(ConnectionError):
            for part in parts:
                dialled.sendall(part)
        with contextlib.suppress(ConnectionError):
            while data := dialled.recv(65536):
                received += data
    return received


def _status(received):
    return int(received.split()[1]) if received else None


def _head(*lines, path="/v1/chat/completions"):
    key = f"Authorization: Bearer {callers.CALLER_KEY}"
    return "\r\n".join((f"POST {path} HTTP/1.1", "Host: x", key, *lines, "", "")).encode()


def _assert_serves(deployment):
    assert deployment.processes.running("entry-1")
    address = deployment.address("entry-1")
    assert callers.search(address).outcome == "completed"
    assert callers.chat(address, "hello [tokens=3]").outcome == "completed"


def test_what_breaks_limits_or_grammar_is_refused(deployment):
    pid = deployment.processes.pid("entry-1")
    body = callers.chat_body("hello")
    for expected, parts in (
        (431, [_head(f"X-Large: {'x' * 64 * 1024}")]),
        (431, [_head(*(f"X-{number}: x" for number in range(5000)))]),
        (414, [b"GET /" + b"x" * 16 * 1024 + b" HTTP/1.1\r\nHost: x\r\n\r\n"]),
        (413, [_head(f"Content-Length: {100 * MEBI}"), b"x" * MEBI]),
        (
            413,
            [
                _head("Transfer-Encoding: chunked"),
                *([b"%x\r\n%s\r\n" % (MEBI, b"x" * MEBI)] * 9),
            ],
        ),
        (400, [b"\x00\x01\x02 not http at all\r\n\r\n"]),
        (400, [b"GET / HTTP/1.1\r\nHost x\r\n\r\n"]),
        (400, [_head("Content-Length: 4", "Content-Length: 5"), b"12345"]),
        (400, [_head("Transfer-Encoding: chunked"), b"not a size\r\n"]),
        (400, [_head(f"Content-Length: {len(body)}", "Medlar-Labels: =,=", "Connection: close")]),
    ):
        if expected == 400 and b"Medlar-Labels" in parts[0]:
            parts = [*parts, body]
        assert _status(_exchange(deployment, *parts)) == expected, parts[0][:200]
        _assert_serves(deployment)
    assert deployment.processes.pid("entry-1") == pid


def test_requests_that_make_no_sense_are_refused_and_not_run(deployment):
    address = deployment.address("entry-1")
    chat = "/v1/chat/completions"
    for expected, method, path, body in (
        (400, "POST", chat, b"{not json"),
        (400, "POST", chat, b"\xff\xfe\x00"),
        (400, "POST", chat, b"[]"),
        (400, "POST", chat, b"[" * 100_000),
        (400, "POST", chat, json.dumps({"model": "words"}).encode()),
        (400, "POST", chat, json.dumps({"model": "words", "messages": 3}).encode()),
        (400, "POST", chat, callers.chat_body("hello", max_tokens=-1)),
        (404, "POST", "/no/such/path", b"{}"),
        (404, "GET", "/services/no-such-service/x", b""),
        (404, "POST", "/services/", b""),
        (405, "PUT", chat, b"{}"),
        (400, "GET", "/services/desk/search/../holds", b""),
        (400, "GET", "/services/desk/search/%2e%2e/holds", b""),
    ):
        answer = callers.ask(address, method, path, body)
        assert (answer.status, answer.outcome) == (expected, "not_run"), (path, body[:40])
        assert answer.error["message"]
    # The same refusals leave a kept connection usable.
    connection = callers.Connection(address)
    assert connection.ask("POST", chat, b"{not json").status == 400
    assert connection.ask("GET", "/services/desk/search/x").outcome == "completed"
    connection.close()
    assert deployment.total("desk-1") == 1
    assert deployment.engine_state("engine-1")["executions"] == {}


def test_slow_senders_are_cut_and_hold_up_nobody(deployment, threads):
    with _dial(deployment) as slow_head, _dial(deployment) as slow_body:
        slow_head.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")
        slow_body.sendall(_head("Content-Length: 100") + b"{")

        def _drip():
            """Send a byte again and again until the entry host ends the connection."""
            slow_head.settimeout(0.2)
            while True:
                try:
                    return slow_head.recv(65536)
                except TimeoutError:
                    slow_head.sendall(b"x")

        dripping = threads.submit(_drip)
        while not dripping.done():
            _assert_serves(deployment)
        assert _status(dripping.result()) == 408
        # The body may take longer; the caller's leaving ends it.
    deployment.wait(lambda: deployment.entry_status("entry-1")["requests"] == 0, "no request left")
    _assert_serves(deployment)


def test_a_caller_that_leaves_mid_stream_frees_its_engine(deployment):
    streams = [
        callers.ChatStream(deployment.address("entry-1"), LONG).read_tokens(5) for _ in range(2)
    ]
    before = deployment.engine_state("engine-1")
    assert (before["running"], before["tokens_cancelled"]) == (2, 0)

    for stream in streams:
        stream.close()

    deployment.wait(lambda: deployment.engine_state("engine-1")["running"] == 0, "a free engine")
    after = deployment.engine_state("engine-1")
    assert after["tokens_cancelled"] >= 10
    assert after["tokens_computed"] < 2000
    deployment.wait(lambda: deployment.entry_status("entry-1")["requests"] == 0, "no request left")
    _assert_serves(deployment)


def test_callers_that_leave_the_queue_or_a_whole_answer_cost_nothing_more(deployment):
    body = callers.chat_body(LONG)
    asked = _head(f"Content-Length: {len(body)}") + body

    def _requests():
        return deployment.entry_status("entry-1")["requests"]

    with contextlib.ExitStack() as running:
        for _ in range(2):
            running.enter_context(_dial(deployment)).sendall(asked)
        deployment.wait(lambda: deployment.engine_state("engine-1")["running"] == 2, "full slots")
        with contextlib.ExitStack() as queued:
            for _ in range(2):
                queued.enter_context(_dial(deployment)).sendall(asked)
            deployment.wait(lambda: deployment.entry_status("entry-1")["queued"] == 2, "a queue")
        deployment.wait(lambda: _requests() == 2, "an empty queue")
    deployment.wait(lambda: _requests() == 0, "no request left")

    deployment.wait(lambda: deployment.engine_state("engine-1")["running"] == 0, "a free engine")
    state = deployment.engine_state("engine-1")
    assert len(state["executions"]) == 2
    assert state["tokens_computed"] < 2000
    _assert_serves(deployment)


def test_an_upstream_that_cuts_its_answers_is_not_passed_off_as_whole(deployment, new_key):
    address = deployment.address("entry-1")
    _switch(deployment, "engine-1", cut_after_tokens=5)
    stream = callers.ChatStream(address, LONG).read_all()
    assert (stream.done, stream.ended, stream.cut) == (False, False, True)
    whole = callers.chat(address, LONG)
    assert (whole.status, whole.outcome) == (502, "may_have_run")
    _switch(deployment, "desk-1", cut_before_reply=True)
    key = new_key()
    held = callers.hold(address, key)
    assert (held.status, held.outcome) == (502, "may_have_run")
    assert deployment.executions("desk-1") == {key: 1}
    for name in ("engine-1", "desk-1"):
        _switch(deployment, name)

    # Upstreams that failed may be left alone for a while.
    deployment.wait(lambda: callers.search(address).status == 200, "the service again")
    deployment.wait(lambda: callers.chat(address, "hi").status == 200, "the engine again")
    assert deployment.executions("desk-1")[key] == 1


def _switch(deployment, name, **faults):
    body = json.dumps(faults).encode()
    answer = callers.ask(deployment.standin_address(name), "POST", "/v1/faults", body)
    assert answer.status == 200, answer
