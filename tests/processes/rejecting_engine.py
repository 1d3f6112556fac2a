"""Run a small engine that has room for few requests, rejects the others, and is faulty.

It announces more slots than it has room for. It writes ``TIME run BODY`` to its output when it
begins to work on a request, ``TIME rejected BODY`` when it turns one away, and ``TIME copied BODY``
when it sends a late copy of a rejection where the response to this request is expected.
"""

import os
import random
import threading
import time

from tests.processes import scripted_engine

EVENTS = 3
FAULT_SHARE = 0.4
COPY_SHARE = 0.5
MAX_QUEUED_S = 0.02
OTHERS_SHARE = 0.5
"""Share of the requests that find the room taken by work that the deployment knows nothing of."""

RETRY_AFTER = "0.05"
RUN_S = (0.03, 0.12)
STILL_S = 1.0
RARE = ("still", "restart")
"""Faults that leave too few engines for the others if they are frequent."""

UNMARKED_STATUSES = (408, 429, 503)
COPIES = ("foreign", "own")
"""Whose rejection is sent again: that of another request of the connection, or of the same."""


class Handler(scripted_engine.Handler):
    """Reject, run or spoil requests."""

    room = threading.Semaphore()
    faults = ()
    drawn = random.Random()

    def setup(self):
        super().setup()
        self._rejected_ids = []

    def do_POST(self):  # noqa: N802 - the library's name
        body = self.rfile.read(int(self.headers["content-length"])).decode()
        fault = ""
        if self.faults and self.drawn.random() < FAULT_SHARE:
            fault = self.drawn.choice(self.faults)
        if fault in RARE and self.drawn.random() < 0.9:
            fault = ""
        if fault in COPIES:
            self._send_copy(fault, body)
        queued_s = self.drawn.uniform(0.0, MAX_QUEUED_S)
        if fault == "deadline":
            queued_s += self._late_s() if self.drawn.random() < 0.5 else 0.0
        if not self._take_room(queued_s):
            self._log("rejected", body)
            self._rejected_ids.append(self.headers["medlar-attempt-id"])
            self._send_rejection(self.headers["medlar-attempt-id"])
            return
        try:
            self._log("run", body)
            time.sleep(self._late_s() if fault == "deadline" else self.drawn.uniform(*RUN_S))
            self._finish(fault, body)
        finally:
            self.room.release()

    def _take_room(self, within_s):
        if self.drawn.random() < OTHERS_SHARE:
            time.sleep(within_s)
            return False
        return self.room.acquire(timeout=within_s)

    def _late_s(self):
        """Return a time that ends at about the deadline of the request."""
        left_s = float(self.headers["medlar-deadline-ms"]) / 1000.0
        return max(0.0, left_s + self.drawn.uniform(-0.06, 0.03))

    def _send_copy(self, whose, body):
        """Send a rejection again that the connection has carried, if there is such a one."""
        attempt_id = self.headers["medlar-attempt-id"]
        is_own = whose == "own"
        ids = [one for one in self._rejected_ids if (one == attempt_id) == is_own]
        if ids and self.drawn.random() < COPY_SHARE:
            self._log("copied", body)
            self._send_rejection(self.drawn.choice([*ids[-3:], ""]))

    def _send_rejection(self, attempt_id):
        lines = ["HTTP/1.1 503 Full", "medlar-not-executed: 1", "content-length: 0"]
        if attempt_id:
            lines.append(f"medlar-attempt-id: {attempt_id}")
        if "own" in self.faults:
            # A request comes back only to an engine that has named a time.
            lines.append(f"retry-after: {RETRY_AFTER}")
        self.wfile.write("\r\n".join([*lines, "", ""]).encode())

    def _finish(self, fault, body):
        match fault:
            case "unmarked":
                self._respond(self.drawn.choice(UNMARKED_STATUSES), body)
            case "truncate":
                self._respond(200, body, missing=9)
                self.close_connection = True
            case "reset":
                self._reset()
            case "restart":
                os._exit(scripted_engine.CRASH_STATUS)
            case _:
                time.sleep(STILL_S if fault == "still" else 0.0)
                if body.startswith("streaming"):
                    self._begin_stream()
                    for number in range(1, EVENTS + 1):
                        self._write_chunk(f"id: {number}\ndata: {body}\n\n".encode())
                        time.sleep(self.event_s)
                    self._write_chunk(b"")
                else:
                    self._respond(200, body)

    def _respond(self, status, body, *, missing=0):
        self.send_response(status)
        self.send_header("medlar-attempt-id", self.headers["medlar-attempt-id"])
        self.send_header("content-length", str(len(body) + missing))
        self.end_headers()
        self.wfile.write(body.encode())

    def _log(self, what, body):
        # One write: the parts of lines that threads print at once would be mixed.
        print(f"{time.monotonic():.3f} {what} {body}\n", end="", flush=True)


def main():
    parser = scripted_engine.make_parser()
    parser.add_argument("--room", type=int, required=True)
    parser.add_argument("--faults", nargs="*", default=())
    parser.add_argument("--seed", required=True)
    given = parser.parse_args()
    Handler.room = threading.Semaphore(given.room)
    Handler.faults = tuple(given.faults)
    Handler.drawn = random.Random(f"{given.seed} {given.name}")
    Handler.event_s = given.event_s
    scripted_engine.serve(given, Handler)


if __name__ == "__main__":
    main()
