"""Requests with prompts that are sent to a fleet at a constant rate."""

import threading
import time


class Traffic:
    """Requests that are sent at a constant rate until it is stopped; each has a new own part."""

    def __init__(self, fleet, name, parts, per_s, **call):
        self.results = []
        self._fleet = fleet
        self._name = name
        self._parts = parts
        self._call_options = call
        self._period_s = 1.0 / per_s
        self._is_over = threading.Event()
        self._threads = []
        self._sender = threading.Thread(target=self._send)

    def __enter__(self):
        self._sender.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        self._sender.join()
        for thread in self._threads:
            thread.join()

    def _send(self):
        due = time.monotonic()
        while not self._is_over.is_set():
            thread = threading.Thread(target=self._call)
            thread.start()
            self._threads.append(thread)
            due += self._period_s
            time.sleep(max(0.0, due - time.monotonic()))

    def _call(self):
        sent_at = time.monotonic()
        status, _ = self._fleet.call_prompt(self._name, self._parts, **self._call_options)
        self.results.append((sent_at, status))

    def served_share(self, since, until):
        """Return the share of the requests sent in between that were answered."""
        statuses = self.statuses(since, until)
        assert len(statuses) >= 20
        return statuses.count(200) / len(statuses)

    def statuses(self, since, until):
        """Return the statuses of the requests sent in between."""
        return [status for at, status in self.results if since <= at < until]
