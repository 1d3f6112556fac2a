"""Test that the load tool is reproducible, checks responses and follows the retry rules."""

import contextlib
import dataclasses
import json
import pathlib
import statistics
import sys
from collections.abc import AsyncIterator
from typing import Any

import curio
import pytest

from medlarfork import errors
from medlarfork.http import http_server, sse
from medlarfork.load import _load_arrivals, _load_experiment, _load_report, load_program
from medlarfork.standin import _standin_text

TIMEOUT_S = 30
NOT_RUN = {"Medlar-Outcome": "not_run", "Retry-After-Ms": "1"}
CHAT = _load_experiment.LoadClass("chat", _load_experiment.LoadKind.CHAT, "key-1", model="m")
CALL = _load_experiment.LoadClass(
    "holds",
    _load_experiment.LoadKind.CALL,
    "key-1",
    service="desk",
    method="POST",
    path="/holds/{number}",
    idempotency_keys=True,
    repeatable=False,
)


class FakeEntry:
    """Entry host that responds correctly, or with the scripted faults to the next requests."""

    def __init__(self, script: list[str] | None = None) -> None:
        self.script = script or []
        self.entry_addresses: tuple[str, ...] = ()
        self.directory_requests = 0
        self.requests = 0
        self.keys: list[str] = []
        self.lifetime_s = 60.0
        self.server = http_server.HttpServer(self._answer, host="127.0.0.1", port=0)

    async def _answer(self, exchange: http_server.Exchange) -> None:
        body = await exchange.read_body()
        if exchange.head.path == "/v1/entries":
            self.directory_requests += 1
            entries = [{"address": address, "data_centre": ""} for address in self.entry_addresses]
            answer = {"entries": entries, "lifetime_s": self.lifetime_s}
            await exchange.respond(200, {}, json.dumps(answer).encode())
            return
        self.requests += 1
        self.keys.append(exchange.head.headers.get("idempotency-key", ""))
        step = self.script.pop(0) if self.script else "right"
        if step == "not_run":
            await exchange.respond(503, NOT_RUN, b"{}")
        elif step == "silent_error":
            await exchange.respond(503, {"Retry-After-Ms": "1"}, b"{}")
        elif step == "hold":
            await exchange.wait_caller_gone()
        elif step == "reset":
            await exchange.abort()
        elif exchange.head.path.startswith("/services/"):
            await self._echo(exchange, step)
        else:
            await self._chat(exchange, json.loads(body), step)

    async def _echo(self, exchange: http_server.Exchange, step: str) -> None:
        path = exchange.head.path.removeprefix("/services/desk")
        echo = {
            "path": path if step != "foreign" else "/holds/other",
            "method": exchange.head.method,
            "count": 2 if step == "doubled" else 1,
            "key": exchange.head.headers.get("idempotency-key", ""),
        }
        await exchange.respond(200, {}, json.dumps(echo).encode())

    async def _chat(self, exchange: http_server.Exchange, body: Any, step: str) -> None:
        messages = body["messages"] if step != "foreign" else ["another"]
        answer = _standin_text.answer(body["model"], messages, body.get("max_tokens"))
        count = answer.count - 2 if step in ("cut", "early_end") else answer.count
        if not body["stream"]:
            text = "".join(answer.token(index) for index in range(count))
            choice = {"message": {"content": text}}
            whole = {"choices": [choice], "usage": {"completion_tokens": count}}
            await exchange.respond(200, {}, json.dumps(whole).encode())
            return
        await exchange.begin(200, {})
        for index in range(count):
            data = {"choices": [{"delta": {"content": answer.token(index)}}]}
            await exchange.send(sse.encode(json.dumps(data)))
        if step == "lost_connection":
            await exchange.abort()
            return
        if step != "early_end":
            await exchange.send(sse.encode(sse.DONE))
        await exchange.finish()


@contextlib.asynccontextmanager
async def serving(*entries: FakeEntry) -> AsyncIterator[None]:
    for entry in entries:
        await entry.server.start()
    addresses = tuple(entry.server.address for entry in entries)
    for entry in entries:
        entry.entry_addresses = addresses
    yield
    for entry in entries:
        await entry.server.close(within_s=0)


def run_load(
    load_class: _load_experiment.LoadClass, *entries: FakeEntry, **options: Any
) -> _load_report.ClassReport:
    """Run about ten requests against the entry hosts, of which only the first is configured."""
    reports: list[_load_report.LoadReport] = []

    async def main() -> None:
        async with curio.timeout_after(TIMEOUT_S), serving(*entries):
            chosen = dataclasses.replace(load_class, rate_per_s=100.0, timeout_s=10.0)
            experiment = _load_experiment.Experiment(
                (entries[0].server.address,), (chosen,), **({"duration_s": 0.1} | options)
            )
            reports.append(await load_program.LoadProgram(experiment).run())

    curio.run(main)
    assert reports[0].passed == (not any(problem_counts(reports[0].classes[0])))
    return reports[0].classes[0]


def problem_counts(report: _load_report.ClassReport) -> tuple[int, ...]:
    return (report.cut, report.foreign, report.doubled, report.unfinished, report.skipped)


@pytest.mark.parametrize("load_class", [CHAT, dataclasses.replace(CHAT, stream=False), CALL])
def test_correct_responses_count_as_completed_and_within_targets(
    load_class: _load_experiment.LoadClass,
) -> None:
    load_class = dataclasses.replace(load_class, whole_target_s=60.0, first_token_target_s=60.0)
    report = run_load(load_class, FakeEntry())
    assert report.sent == report.completed > 3
    assert report.attainment == 1.0
    assert report.goodput_per_s == pytest.approx(report.sent / 0.1)
    assert not any(problem_counts(report))


def test_responses_outside_the_target_count_as_completed_only() -> None:
    report = run_load(dataclasses.replace(CHAT, whole_target_s=0.0), FakeEntry())
    assert report.completed == report.sent
    assert report.attainment == report.goodput_per_s == 0.0


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("fault", ["cut", "foreign"])
def test_wrong_responses_that_look_complete_are_detected(fault: str, stream: bool) -> None:
    report = run_load(dataclasses.replace(CHAT, stream=stream), FakeEntry([fault]))
    assert getattr(report, fault) == 1
    assert report.attainment < 1.0


@pytest.mark.parametrize("fault", ["foreign", "doubled"])
def test_wrong_echoes_are_detected(fault: str) -> None:
    assert getattr(run_load(CALL, FakeEntry([fault])), fault) == 1


@pytest.mark.parametrize("fault", ["lost_connection", "early_end"])
def test_a_truncated_response_is_wasted_and_not_complete(fault: str) -> None:
    report = run_load(CHAT, FakeEntry([fault]))
    assert (report.may_have_run, report.completed) == (1, report.sent - 1)
    assert report.wasted_tokens > 0
    assert not any(problem_counts(report))


def test_requests_that_did_not_run_are_retried_elsewhere_with_the_same_key() -> None:
    first, second = FakeEntry(["not_run"]), FakeEntry(["not_run"])
    report = run_load(CALL, first, second)
    assert report.completed == report.sent
    assert report.retries == 2
    keys = first.keys + second.keys
    assert len(keys) == report.sent + 2
    assert len(set(keys)) == report.sent


def test_retries_are_bounded() -> None:
    entry = FakeEntry(["not_run"] * 10_000)
    report = run_load(CALL, entry, retries=3)
    assert (report.not_run, report.completed) == (report.sent, 0)
    assert report.retries == 3 * report.sent == entry.requests - report.sent


@pytest.mark.parametrize("fault", ["reset", "silent_error"])
def test_requests_that_may_have_run_are_never_retried(fault: str) -> None:
    entry = FakeEntry([fault])
    report = run_load(CALL, entry)
    assert (report.may_have_run, report.retries) == (1, 0)
    assert report.errors == (fault == "reset")
    assert entry.requests == report.sent


def test_the_list_of_entry_hosts_is_cached_and_they_share_the_load() -> None:
    entries = [FakeEntry(), FakeEntry(), FakeEntry()]
    report = run_load(CHAT, *entries)
    assert [entry.directory_requests for entry in entries] == [1, 0, 0]
    counts = [entry.requests for entry in entries]
    assert sum(counts) == report.sent
    assert max(counts) - min(counts) <= 1


def test_the_list_of_entry_hosts_is_refreshed_after_its_lifetime() -> None:
    entry = FakeEntry()
    entry.lifetime_s = 0.0
    run_load(CHAT, entry, duration_s=0.5)
    assert entry.directory_requests > 1


def test_arrivals_do_not_wait_for_responses_and_excess_ones_are_skipped() -> None:
    free = run_load(CHAT, FakeEntry(["hold"]), drain_s=0.0)
    assert free.sent > 1
    assert free.unfinished >= 1
    full = run_load(CHAT, FakeEntry(["hold"]), outstanding_limit=1, drain_s=0.0)
    assert (full.sent, full.unfinished, full.skipped) == (1, 1, free.sent - 1)


def test_the_same_seed_gives_the_same_arrivals_and_bursts_raise_the_rate() -> None:
    bursty = dataclasses.replace(
        CHAT, rate_per_s=20.0, burst_on_s=5.0, burst_off_s=5.0, burst_factor=4.0
    )
    arrivals = list(_load_arrivals.arrivals(bursty, seed=3, duration_s=200.0))
    assert arrivals == list(_load_arrivals.arrivals(bursty, seed=3, duration_s=200.0))
    assert arrivals != list(_load_arrivals.arrivals(bursty, seed=4, duration_s=200.0))
    in_burst = sum(1 for item in arrivals if item.at_s % 10.0 >= 5.0)
    assert in_burst == pytest.approx(8000, rel=0.05)
    assert len(arrivals) - in_burst == pytest.approx(2000, rel=0.1)


def test_percentiles_match_the_standard_library() -> None:
    values = [float(value) for value in range(1, 102)]
    found = _load_report.percentiles(values)
    assert (found.p50, found.p95, found.p99) == (51.0, 96.0, 100.0)
    assert found.p50 == statistics.median(values)
    assert _load_report.percentiles([2.0]) == _load_report.Percentiles(2.0, 2.0, 2.0)
    assert _load_report.percentiles([]) == _load_report.Percentiles()


FILE = """
entries = ["{address}"]
duration_s = 0.05
[[class]]
name = "chat"
kind = "chat"
account_key = "k"
model = "m"
rate_per_s = 100.0
"""


def run_main(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["medlar-load", *arguments])
    with pytest.raises(SystemExit) as stopped:
        load_program.run()
    return stopped.value.code


@pytest.mark.parametrize(
    "change",
    [
        ("kind = ", "kindd = "),
        ('model = "m"', ""),
        ("[[class]]", "retries = -1\n[[class]]"),
        ('"{address}"', ""),
    ],
)
def test_a_wrong_experiment_file_is_refused(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path, change: tuple[str, str]
) -> None:
    file = tmp_path / "load.toml"
    file.write_text(FILE.replace(*change))
    assert run_main(monkeypatch, str(file)) == 2
    assert run_main(monkeypatch) == 2


def test_a_run_without_reachable_entry_hosts_counts_everything_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    file = tmp_path / "load.toml"
    file.write_text(FILE.replace("{address}", "http://127.0.0.1:1"))
    assert run_main(monkeypatch, str(file), "--json") == 0
    report = json.loads(capsys.readouterr().out)["classes"][0]
    assert report["not_run"] == report["sent"] > 0
    assert run_main(monkeypatch, str(file)) == 0
    assert "attainment" in capsys.readouterr().out


def test_errors_of_an_experiment_state_the_remedy() -> None:
    twice = _load_experiment.Experiment(("http://127.0.0.1:1",), (CHAT, CHAT))
    with pytest.raises(errors.SettingsError, match="own name"):
        _load_experiment.check(twice)
    wrong = dataclasses.replace(CHAT, tokens_min=9, tokens_max=8)
    with pytest.raises(errors.SettingsError, match="tokens_min"):
        _load_experiment.check(dataclasses.replace(twice, classes=(wrong,)))
