"""Upstreams whose status promises that a request has not run, without stating so, after a run."""

import collections

import pytest

from medlarfork import errors
from tests.routed import partition, routed_harness, test_cut_off_hosts
from tests.routed.routed_harness import NAMES

PROMISES = (408, 429, 503)
"""Statuses that tell a caller that its request has not run and never will."""

RUN_ONCE = ("unsafe", "streaming")
REPEATABLE = ({"kind": "safe"}, {"kind": "streaming", "may_resume": True})


class Runs:
    """Counts the runs of each attempt; the first ones end with an error status."""

    def __init__(self, status, failures=1000):
        self.by_attempt = collections.Counter()
        self._status = status
        self._failures = failures

    async def answer(self, exchange):
        self.by_attempt[exchange.head.headers[NAMES.attempt_id]] += 1
        failed = self.by_attempt.total() <= self._failures
        headers = routed_harness.echo_headers(exchange)
        await exchange.respond(self._status if failed else 200, headers, b"upstream")


async def start(deployment, runs, **route):
    for _ in range(3):
        await deployment.add_upstream(runs.answer)
    await deployment.put_routing(**route)
    await deployment.until_upstreams(3)


# Guards against: an unmarked 503, 429 or 408 of a run reached the caller as a promise.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("kind", RUN_ONCE)
def test_a_run_is_not_refused_with_the_status_of_its_upstream(tmp_path, kind, status):
    runs = Runs(status)

    async def main(deployment):
        await start(deployment, runs, kind=kind)
        response = await deployment.call()
        body = await response.read()
        assert response.status == 502
        assert NAMES.seal not in response.headers
        assert body != b"upstream" and errors.Code.UNCERTAIN.encode() in body
        assert runs.by_attempt == {"attempt-1": 1}

    routed_harness.run(tmp_path, main)


# Guards against: the same, where another entry host forwarded the request.
@pytest.mark.parametrize("status", PROMISES)
def test_a_forwarded_run_is_not_refused_with_the_status_of_its_upstream(tmp_path, status):
    runs = Runs(status)

    async def main(deployment):
        await deployment.start_entry(test_cut_off_hosts.OTHER)
        await start(deployment, runs, kind="unsafe")
        await test_cut_off_hosts.cut_off(deployment, partition.Partition(deployment.entry))
        response = await deployment.call(**{NAMES.attempt_id: "forwarded"})
        await response.read()
        assert response.status == 502
        assert NAMES.seal not in response.headers
        assert runs.by_attempt["forwarded"] == 1

    routed_harness.run(tmp_path, main)


# Guards against: a failure was passed on although another upstream could answer.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("route", REPEATABLE, ids=lambda route: route["kind"])
def test_a_repeatable_run_with_such_a_status_is_retried(tmp_path, route, status):
    runs = Runs(status, failures=1)

    async def main(deployment):
        await start(deployment, runs, max_attempts=2, **route)
        response = await deployment.call()
        assert (response.status, await response.read()) == (200, b"upstream")
        assert runs.by_attempt == {"attempt-1": 2}

    routed_harness.run(tmp_path, main)


class Marked(Runs):
    """Sends a status with a mark: for each run, or once instead of a run."""

    def __init__(self, status, mark, *, is_run):
        super().__init__(status)
        self._mark = mark
        self._is_run = is_run
        self._is_sent = False

    async def answer(self, exchange):
        is_marked = self._is_run or not self._is_sent
        self._is_sent = True
        self.by_attempt[exchange.head.headers[NAMES.attempt_id]] += self._is_run or not is_marked
        headers = routed_harness.echo_headers(exchange)
        if is_marked:
            headers[NAMES.not_executed] = self._mark
        await exchange.respond(self._status if is_marked else 200, headers, b"upstream")


# Guards against: a mark was believed with any value and status, so a request ran twice.
@pytest.mark.parametrize(
    ("status", "mark", "expected"),
    [(200, "1", 200), (408, "1", 502), (500, "1", 500), (504, "1", 504)]
    + [(503, "0", 502), (429, "False", 502), (503, "1, no", 502)],
)
def test_a_run_is_not_sent_again_for_a_mark_that_states_nothing(tmp_path, status, mark, expected):
    runs = Marked(status, mark, is_run=True)

    async def main(deployment):
        await start(deployment, runs, kind="unsafe")
        response = await deployment.call()
        await response.read()
        assert response.status == expected
        assert runs.by_attempt == {"attempt-1": 1}

    routed_harness.run(tmp_path, main)


# Guards against: a request that was rejected as upstreams may was not sent to another one.
@pytest.mark.parametrize(
    ("status", "mark"), [(400, "1"), (421, "1"), (429, "1"), (503, "1"), (503, "")]
)
def test_a_rejection_is_believed_with_any_other_value(tmp_path, status, mark):
    runs = Marked(status, mark, is_run=False)

    async def main(deployment):
        await start(deployment, runs, kind="unsafe", max_attempts=2)
        response = await deployment.call()
        await response.read()
        assert response.status == 200
        assert runs.by_attempt == {"attempt-1": 1}

    routed_harness.run(tmp_path, main)


# Guards against: the log could not tell a rejection that was proven from one that was believed.
def test_the_log_states_what_a_rejection_rests_on(tmp_path, caplog):
    caplog.set_level("INFO")

    async def reject(exchange):
        headers = routed_harness.echo_headers(exchange, **{NAMES.not_executed: "1"})
        await exchange.respond(503, headers, b"")

    async def main(deployment):
        for _ in range(2):
            await deployment.add_upstream(reject)
        await deployment.put_routing(kind="unsafe")
        await deployment.until_upstreams(2)
        response = await deployment.call(**{NAMES.deadline_ms: "600"})
        await response.read()
        assert response.status == 503

    routed_harness.run(tmp_path, main)
    logged = (record.msg for record in caplog.records if isinstance(record.msg, dict))
    (line,) = (line for line in logged if line["event"] == "request")
    assert "status 503 (not executed, id returned, exchange 1)" in line["why"]
