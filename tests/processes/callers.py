"""Send requests as callers and operators do, with nothing but the standard library."""

import dataclasses
import http.client
import json
import threading
import urllib.parse

from examples import local_deployment

CALLER_KEY = "shop-key"
CUT_ERRORS = (http.client.HTTPException, OSError)
LIMIT_S = 45.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold a whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self):
        return self.headers.get("medlar-outcome", "")

    @property
    def replayed(self):
        return self.headers.get("medlar-replayed") == "true"

    @property
    def request_id(self):
        return self.headers["medlar-request-id"]

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json["error"]


class Connection:
    """Send one request after the other over one kept connection."""

    def __init__(self, address, *, key=CALLER_KEY, limit_s=LIMIT_S):
        self._http = http.client.HTTPConnection(
            urllib.parse.urlsplit(address).netloc, timeout=limit_s
        )
        self._key = key

    def send(self, method, path, body=b"", headers=None):
        """Send a request and return the answer as soon as its head is in."""
        headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        self._http.request(method, path, body or None, headers)
        return self._http.getresponse()

    def ask(self, method, path, body=b"", headers=None):
        response = self.send(method, path, body, headers)
        received = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, received, response.read())

    def close(self):
        self._http.close()


def ask(address, method, path, body=b"", *, headers=None, key=CALLER_KEY, limit_s=LIMIT_S):
    """Send one request over a connection of its own and return the whole answer."""
    connection = Connection(address, key=key, limit_s=limit_s)
    try:
        return connection.ask(method, path, body, headers)
    finally:
        connection.close()


def try_ask(*arguments, **options):
    """Return the answer, or None if the connection was refused or cut."""
    try:
        return ask(*arguments, **options)
    except CUT_ERRORS:
        return None


def search(address, what="x", **options):
    """Send a call that may be repeated."""
    return ask(address, "GET", f"/services/desk/search/{what}", **options)


def hold(address, key, **options):
    """Send a call that must not run twice."""
    headers = {"Idempotency-Key": key}
    return ask(address, "POST", "/services/desk/holds", b"{}", headers=headers, **options)


def try_hold(address, key, **options):
    """Do the same, and return None if the connection was refused or cut."""
    try:
        return hold(address, key, **options)
    except CUT_ERRORS:
        return None


def chat_body(prompt, *, stream=False, **further):
    messages = [{"role": "user", "content": prompt}]
    return json.dumps(
        {"model": "words", "messages": messages, "stream": stream, **further}
    ).encode()


def chat(address, prompt, **options):
    """Ask for a whole chat completion."""
    return ask(address, "POST", "/v1/chat/completions", chat_body(prompt), **options)


def text_of(answer):
    return answer.json["choices"][0]["message"]["content"]


class ChatStream:
    """Read a streamed chat completion bit by bit.

    Attributes:
        text: The text so far.
        tokens: Parts of text so far.
        done: Whether the stream said that it is done.
        ended: Whether the connection's framing ended properly.
        cut: Whether it was cut instead.
    """

    def __init__(self, address, prompt, *, connection=None):
        self.text = ""
        self.tokens = 0
        self.done = False
        self.ended = False
        self.cut = False
        self._connection = connection or Connection(address)
        self._buffer = b""
        body = chat_body(prompt, stream=True)
        self._response = self._connection.send("POST", "/v1/chat/completions", body)
        self.status = self._response.status
        self.request_id = self._response.headers["Medlar-Request-Id"]

    def read_tokens(self, count):
        """Read until there are so many parts of text, or the stream is over."""
        while self.tokens < count and not (self.ended or self.cut):
            self._read_some()
        return self

    def read_all(self):
        while not (self.ended or self.cut):
            self._read_some()
        return self

    def close(self):
        self._response.close()
        self._connection.close()

    def _read_some(self):
        try:
            data = self._response.read1(65536)
        except CUT_ERRORS:
            self.cut = True
            return
        self.ended = not data
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            self._take(event)

    def _take(self, event):
        lines = event.split(b"\n")
        data = b"".join(line[5:].strip() for line in lines if line.startswith(b"data:"))
        if data == b"[DONE]":
            self.done = True
        elif data:
            for choice in json.loads(data)["choices"]:
                content = choice["delta"].get("content")
                self.text += content or ""
                self.tokens += bool(content)


class Watch:
    """Repeat a look at something in a thread until closed, and keep what was seen."""

    def __init__(self, look, *, period_s=0.05):
        self.seen = []
        self._look = look
        self._period_s = period_s
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._repeat)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stop.set()
        self._thread.join()

    def _repeat(self):
        while not self._stop.is_set():
            self.seen.append(self._look())
            self._stop.wait(self._period_s)


class Operator:
    """Change the configuration over HTTP, without the command line."""

    def __init__(self, deployment):
        self._deployment = deployment

    def ask(self, control, method, path, body=b"", *, limit_s=LIMIT_S):
        """Ask one control replica."""
        key = local_deployment.OPERATOR_KEY
        address = self._deployment.address(control)
        return ask(address, method, path, body, key=key, limit_s=limit_s)

    def ask_leader(self, method, path, body=b""):
        """Ask the leader; looked for again for as long as no host decides the request."""

        def _try():
            leader = self._deployment.wait_for_leader()
            try:
                answer = self.ask(leader, method, path, body)
            except CUT_ERRORS:
                return None
            return answer if answer.status not in (421, 503, 504) else None

        return self._deployment.wait(_try, f"an answer to {method} {path}")

    def change(self, change_id, base, configuration):
        """Send a change to the leader."""
        return self.ask_leader("POST", "/v1/changes", change_body(change_id, base, configuration))

    def configuration(self):
        """Return the current revision and configuration."""
        reply = self.ask_leader("GET", "/v1/configuration").json
        return reply["revision"], reply["configuration"]

    def history(self):
        """Return the accepted changes' ids by revision."""
        changes = self.ask_leader("GET", "/v1/history?limit=1000").json["changes"]
        return {change["revision"]: change["change_id"] for change in changes}


def change_body(change_id, base, configuration):
    change = {"change_id": change_id, "base_revision": base, "configuration": configuration}
    return json.dumps(change).encode()
