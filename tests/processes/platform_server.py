"""Stand in for a deployment's platform over HTTP: check fences, and note what must never happen."""

import http.server
import json
import threading
import time


class PlatformServer:
    """Take reports of usage; each call is kept with its time, holder and fence."""

    def __init__(self, host):
        self.calls = []
        self.counts_by_window = {}
        self.faults = []
        self._holder_by_fence = {}
        self._fence = 0
        self._lock = threading.Lock()
        handler = type("Handler", (_Handler,), {"platform": self})
        self._server = http.server.ThreadingHTTPServer((host, 0), handler)
        self.address = f"{host}:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def take(self, path, holder, fence, body):
        """Return the status of a call."""
        with self._lock:
            self.calls.append((time.monotonic(), holder, fence))
            if fence < self._fence:
                return 409
            self._fence = fence
            if self._holder_by_fence.setdefault(fence, holder) != holder:
                self.faults.append(f"two holders use fence {fence}")
            window = int(path.rpartition("/")[2])
            if self.counts_by_window.setdefault(window, body) != body:
                self.faults.append(f"two different reports of window {window}")
            return 200

    @property
    def reported(self):
        """Return the requests in all reports."""
        with self._lock:
            return sum(sum(counts.values()) for counts in self.counts_by_window.values())

    @property
    def holder(self):
        """Return who made the last call."""
        with self._lock:
            return self.calls[-1][1]

    @property
    def fence(self):
        """Return the highest fence."""
        with self._lock:
            return self._fence


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_PUT(self):  # noqa: N802 - the library's name
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        holder, fence = self.headers["Medlar-Holder"], int(self.headers["Medlar-Fence"])
        self.send_response(self.platform.take(self.path, holder, fence, body))
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        """Write nothing: the calls are kept."""
