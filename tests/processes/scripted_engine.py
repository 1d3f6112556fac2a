"""Run a small engine that does what its requests and a file say: a program of its own.

It announces itself to replicas. A request whose body begins with ``crash`` ends it; every other
it answers as its script says, a JSON file that is read with each request: ``status`` and
``headers`` of the answers. A body ``stream COUNT CUT ENGINE ...`` asks for a stream of so many
events; the engine of that name resets it after event number CUT. A body ``versions COUNT CUT``
asks for events that name the engine's version; a stream that begins is reset after event number
CUT. A prompt part whose id begins with ``early`` ends it before the head of the answer, one with
``deadly`` within the first event, one with ``late`` after that event. It writes ``TIME run BODY``
to its output when it begins to work on a request, and ``TIME rejected BODY`` when its script turns
one away.
"""

import argparse
import http.server
import json
import os
import pathlib
import socket
import struct
import sys
import threading
import time
import traceback
import urllib.request

CRASH_STATUS = 70
CRASHES = b"crash"
SLOW = b"slow"
STREAM = b"stream"
VERSIONS = b"versions"
DEADLY_PART = "deadly"
LATE_PART = "late"
EARLY_PART = "early"
RESET = struct.pack("ii", 1, 0)


class Handler(http.server.BaseHTTPRequestHandler):
    """Answer requests; a body that begins with ``crash`` ends the process."""

    protocol_version = "HTTP/1.1"
    script = None
    name = ""
    version = ""
    event_s = 0.0

    def do_POST(self):
        body = self.rfile.read(int(self.headers["content-length"]))
        script = json.loads(self.script.read_text()) if self.script.exists() else {}
        status = script.get("status", 200)
        what = "run" if status == 200 else "rejected"
        # One write: the parts of lines that threads print at once would be mixed.
        print(f"{time.monotonic():.3f} {what} {body.decode()}\n", end="", flush=True)
        if status == 200:
            time.sleep(0.5 if body.startswith(SLOW) else 0.05)
        if body.startswith(CRASHES):
            os._exit(CRASH_STATUS)
        parts = self.headers.get("medlar-prompt-parts", "").split(",")
        for part in parts:
            if part.startswith(EARLY_PART):
                os._exit(CRASH_STATUS)
            if part.startswith((DEADLY_PART, LATE_PART)):
                self._crash_in_stream(is_late=part.startswith(LATE_PART))
        if body.startswith(STREAM):
            _, count, cut, engine, *_ = body.decode().split()
            self._stream(int(count), int(cut) if engine == self.name else 0)
            return
        if body.startswith(VERSIONS):
            _, count, cut, *_ = body.decode().split()
            is_begun = self.headers.get("last-event-id")
            self._stream(int(count), 0 if is_begun else int(cut), self.version)
            return
        self.send_response(status)
        for name, value in script.get("headers", {}).items():
            self.send_header(name, value)
        if status != 200:
            self.send_header("medlar-not-executed", "1")
        self.send_header("medlar-attempt-id", self.headers["medlar-attempt-id"])
        self.send_header("content-length", "4")
        self.end_headers()
        self.wfile.write(b"done")

    def _crash_in_stream(self, *, is_late):
        self._begin_stream()
        event = b"id: 1\ndata: 1\n\n"
        self._write_chunk(event if is_late else event[:8])
        time.sleep(0.05)
        os._exit(CRASH_STATUS)

    def _begin_stream(self):
        self.send_response(200)
        self.send_header("medlar-attempt-id", self.headers["medlar-attempt-id"])
        self.send_header("content-type", "text/event-stream")
        self.send_header("transfer-encoding", "chunked")
        self.end_headers()

    def _stream(self, count, cut_after, data=""):
        """Answer with the events after the last one that the caller has."""
        after = int(self.headers.get("last-event-id") or 0)
        self._begin_stream()
        for number in range(after + 1, count + 1):
            self._write_chunk(f"id: {number}\ndata: {data or number}\n\n".encode())
            if number == cut_after:
                self._reset()
                return
            time.sleep(self.event_s)
        self._write_chunk(b"")

    def _reset(self):
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        os.close(self.connection.detach())
        self.close_connection = True

    def _write_chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def log_message(self, *args):
        pass


def announce(name, address, replicas, period_s, version, slots):
    """Announce this start for as long as the process runs."""
    born_ms = time.time_ns() // 1_000_000
    sequence = 0
    while True:
        sequence += 1
        announced = {
            "upstream_id": name,
            "service": "engines",
            "address": address,
            "zone": "z1",
            "slots": slots,
            "sequence": sequence,
            "born_ms": born_ms,
            "version": version,
        }
        for replica in replicas:
            request = urllib.request.Request(
                f"http://{replica}:7001/v1/upstreams/{name}",
                json.dumps(announced).encode(),
                method="PUT",
            )
            try:
                with urllib.request.urlopen(request, timeout=1):
                    break
            except OSError:
                continue
        time.sleep(period_s)


class Server(http.server.ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        # One write, as for the lines of runs: the output is shared with them.
        print(f"{traceback.format_exc()}\n", end="", file=sys.stderr, flush=True)


def make_parser():
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--replicas", nargs="+", required=True)
    parser.add_argument("--script", type=pathlib.Path, required=True)
    parser.add_argument("--version", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--event-s", type=float, default=0.002)
    return parser


def main():
    given = make_parser().parse_args()
    Handler.script = given.script
    Handler.name = given.name
    Handler.version = given.version
    Handler.event_s = given.event_s
    serve(given, Handler)


def serve(given, handler):
    """Announce the engine and serve its requests with this handler."""
    server = Server((given.host, given.port), handler)
    address = f"{given.host}:{given.port}"
    arguments = (given.name, address, given.replicas, 0.3, given.version, given.slots)
    threading.Thread(target=announce, args=arguments, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
