"""The account of a played day's worth adds up and names what the logs say."""

import json
import pathlib
import subprocess
import sys

import pytest
from measure import worth_account

REPORT = {
    "G": 0.5,
    "parts": [["whole day", 0.6, 0.8], ["worst windows", 0.4, 0.25]],
    "prices": [["machine-seconds", 1000.0, 0.08], ["calls", 0.0, 0.0]],
    "unserved_by": [["503", 4, ["1.0 s  sent"]]],
}
LINE = (
    "   {at} front-1 event=request ts=x process=front-1 request=a route=r-1 service=s"
    " result={result} status={status} waited_ms={waited} first_ms={first} pause_ms={pause}"
    ' took_ms=500 why="a b=c"'
)


def line(at=3.0, result="answered", status=200, waited=1.0, first=20.0, pause=50.0):
    return LINE.format(at=at, result=result, status=status, waited=waited, first=first, pause=pause)


def test_what_is_missing_is_split_among_parts_and_prices():
    rows = worth_account.losses(json.dumps(REPORT).encode())
    assert [row.what for row in rows] == ["worst windows", "whole day", "price: machine-seconds"]
    assert 1.0 - sum(row.worth for row in rows) == pytest.approx(REPORT["G"])


def test_requests_on_time_are_left_out_and_others_named_by_window_and_reason():
    lines = [
        line(),
        line(first=450.0),
        line(first=450.0, waited=440.0, pause=310.0),
        line(at=9.1, result="refused", status=503),
        "   1.0 core-1 event=placed ticket=t",
    ]
    assert list(worth_account.endings(lines)) == [
        worth_account.Ending(2.0, "r-1", "slow first event"),
        worth_account.Ending(2.0, "r-1", "waited and pause"),
        worth_account.Ending(8.0, "r-1", "refused 503"),
    ]


def test_requests_whose_entry_host_ended_without_a_line_of_them_are_rows():
    lines = [
        "  -3.0 front-1 event=started ts=x process=front-1 entry=10.0.0.1 serve=10.0.0.1:80",
        "   5.0 core-1 event=placed ticket=10.0.0.1-ab-1 upstream=i-1",
        "   5.1 core-1 event=placed ticket=10.0.0.1-ab-2 upstream=i-1",
        "   5.1 core-1 event=placed ticket=10.0.0.9-ab-1 upstream=i-1",
        line(at=5.5).replace("waited_ms", "tickets=10.0.0.1-ab-2 waited_ms"),
    ]
    ended = worth_account.Ending(4.0, worth_account.NO_ROUTE, worth_account.HOST_ENDED)
    assert list(worth_account.endings(lines)) == [ended]


def test_the_page_s_command_needs_no_library(tmp_path):
    report = tmp_path / "report.json"
    report.write_text(json.dumps(REPORT))
    done = subprocess.run(
        [sys.executable, "-I", "-S", "-c", _WITHOUT_LIBRARIES, str(report)],
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "worst windows" in done.stdout


_ROOT = str(pathlib.Path(__file__).parent.parent)

_WITHOUT_LIBRARIES = (
    f"import sys; sys.path.insert(0, {_ROOT!r}); from measure import worth_account;"
    " worth_account.main(sys.argv[1:])"
)


def test_what_is_no_report_is_said_to_be_none():
    with pytest.raises(ValueError, match="not a report"):
        worth_account.losses(b"[]")
