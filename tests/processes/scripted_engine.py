"""Run a small engine that does what its requests and a file say: a program of its own.

It announces itself to replicas. A request whose body begins with ``crash`` ends it; every other
it answers as its script says, a JSON file that is read with each request: ``status`` and
``headers`` of the answers. It writes ``TIME run BODY`` to its output when it begins to work on a
request, and ``TIME rejected BODY`` when its script turns one away.
"""

import argparse
import http.server
import json
import os
import pathlib
import threading
import time
import urllib.request

CRASH_STATUS = 70
CRASHES = b"crash"
SLOW = b"slow"


class Handler(http.server.BaseHTTPRequestHandler):
    """Answer requests; a body that begins with ``crash`` ends the process."""

    protocol_version = "HTTP/1.1"
    script = None

    def do_POST(self):
        body = self.rfile.read(int(self.headers["content-length"]))
        script = json.loads(self.script.read_text()) if self.script.exists() else {}
        status = script.get("status", 200)
        what = "run" if status == 200 else "rejected"
        print(f"{time.monotonic():.3f} {what} {body.decode()}", flush=True)
        if status == 200:
            time.sleep(0.5 if body.startswith(SLOW) else 0.05)
        if body.startswith(CRASHES):
            os._exit(CRASH_STATUS)
        self.send_response(status)
        for name, value in script.get("headers", {}).items():
            self.send_header(name, value)
        if status != 200:
            self.send_header("medlar-not-executed", "1")
        self.send_header("medlar-attempt-id", self.headers["medlar-attempt-id"])
        self.send_header("content-length", "4")
        self.end_headers()
        self.wfile.write(b"done")

    def log_message(self, *args):
        pass


def announce(name, address, replicas, period_s):
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
            "slots": 8,
            "sequence": sequence,
            "born_ms": born_ms,
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


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--replicas", nargs="+", required=True)
    parser.add_argument("--script", type=pathlib.Path, required=True)
    given = parser.parse_args()
    Handler.script = given.script
    server = http.server.ThreadingHTTPServer((given.host, given.port), Handler)
    arguments = (given.name, f"{given.host}:{given.port}", given.replicas, 0.3)
    threading.Thread(target=announce, args=arguments, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
