"""The account of a played day's worth adds up and names what the logs say."""

import json

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
