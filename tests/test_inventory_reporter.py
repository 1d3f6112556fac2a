"""Tests of inventory reports: changes only, and a full resend on request."""

import dataclasses

import pytest

from medlarfork import upstream
from medlarfork.entry import inventory_reporter
from medlarfork.orders import inventory


def announcement(upstream_id="u1", **changed):
    first = upstream.Announcement(
        upstream_id, 1, 1, upstream.UpstreamState.READY, "http://u", labels={"a": "b"}, role="mixed"
    )
    return dataclasses.replace(first, **changed)


class Pair:
    """A reporter and an inventory, joined by a link without losses."""

    def __init__(self):
        self.reporter = inventory_reporter.InventoryReporter("h1")
        self.inventory = inventory.Inventory()

    def transfer(self):
        reports = self.reporter.pop_reports()
        for report in reports:
            self.inventory.apply(report)
        return reports

    def is_consistent(self):
        return self.inventory.check_digest("h1", self.reporter.digest) is None


@pytest.fixture
def pair():
    return Pair()


def test_an_announcement_that_changes_nothing_is_not_reported(pair):
    pair.reporter.observe(announcement())
    (report,) = pair.transfer()
    (notice,) = report.notices
    assert (notice.upstream_id, notice.labels, notice.role) == ("u1", {"a": "b"}, "mixed")
    load = upstream.Load(running=3)
    pair.reporter.observe(announcement(sequence=2, load=load, slots=5))
    assert pair.transfer() == ()
    pair.reporter.observe(announcement(sequence=3, role="decode"))
    assert [report.notices[0].role for report in pair.transfer()] == ["decode"]
    assert pair.is_consistent()


@pytest.mark.parametrize("cause", ["forget", "leave", "keep"])
def test_a_removed_upstream_is_reported_once(pair, cause):
    pair.reporter.observe(announcement())
    pair.transfer()
    for _ in range(2):
        match cause:
            case "forget":
                pair.reporter.remove("u1")
            case "leave":
                pair.reporter.observe(announcement(state=upstream.UpstreamState.LEAVING))
            case "keep":
                pair.reporter.retain_only([announcement("u2")])
    (report,) = pair.transfer()
    assert [item.gone for item in report.notices if item.upstream_id == "u1"] == [True]
    assert "u1" not in pair.inventory.upstream_by_id
    assert pair.is_consistent()
    pair.reporter.remove("u1")
    assert pair.transfer() == ()


def test_a_lost_report_is_repaired_by_a_full_resend(pair):
    for number in range(inventory.MAX_NOTICES + 2):
        pair.reporter.observe(announcement(f"u{number}"))
    pair.transfer()
    pair.reporter.remove("u1")
    pair.reporter.pop_reports()
    assert not pair.is_consistent()
    pair.reporter.resend()
    first, second = pair.transfer()
    assert (first.whole, second.whole) == (True, False)
    assert len(pair.inventory.upstream_by_id) == inventory.MAX_NOTICES + 1
    assert pair.is_consistent()


def test_an_empty_full_resend_clears_the_leaders_inventory(pair):
    pair.reporter.observe(announcement())
    pair.transfer()
    pair.reporter = inventory_reporter.InventoryReporter("h1")
    assert not pair.is_consistent()
    pair.reporter.resend()
    pair.transfer()
    assert pair.is_consistent()
    assert pair.inventory.upstream_by_id == {}


def test_no_more_upstreams_are_reported_than_the_leader_holds(pair, monkeypatch):
    monkeypatch.setattr(inventory, "MAX_UPSTREAMS_PER_ENTRY", 2)
    pair.reporter.retain_only(announcement(f"u{number}") for number in range(3))
    pair.transfer()
    assert len(pair.inventory.upstream_by_id) == 2
    assert pair.is_consistent()
