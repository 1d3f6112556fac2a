"""An entry host reports what changes, and all of it when the leader asks."""

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
    """Hand each report to an inventory, as a link that loses none would."""

    def __init__(self):
        self.reporter = inventory_reporter.InventoryReporter("h1")
        self.inventory = inventory.Inventory()

    def pass_on(self):
        reports = self.reporter.pop_reports()
        for report in reports:
            self.inventory.apply(report)
        return reports

    def agree(self):
        return self.inventory.check_digest("h1", self.reporter.digest) is None


@pytest.fixture
def pair():
    return Pair()


def test_an_announcement_that_changes_nothing_is_not_reported(pair):
    pair.reporter.observe(announcement())
    (report,) = pair.pass_on()
    (notice,) = report.notices
    assert (notice.upstream_id, notice.labels, notice.role) == ("u1", {"a": "b"}, "mixed")
    load = upstream.Load(running=3)
    pair.reporter.observe(announcement(sequence=2, load=load, slots=5))
    assert pair.pass_on() == ()
    pair.reporter.observe(announcement(sequence=3, role="decode"))
    assert [report.notices[0].role for report in pair.pass_on()] == ["decode"]
    assert pair.agree()


@pytest.mark.parametrize("way", ["forget", "leave", "keep"])
def test_a_removed_upstream_is_reported_once(pair, way):
    pair.reporter.observe(announcement())
    pair.pass_on()
    for _ in range(2):
        match way:
            case "forget":
                pair.reporter.remove("u1")
            case "leave":
                pair.reporter.observe(announcement(state=upstream.UpstreamState.LEAVING))
            case "keep":
                pair.reporter.retain_only([announcement("u2")])
    (report,) = pair.pass_on()
    assert [item.gone for item in report.notices if item.upstream_id == "u1"] == [True]
    assert "u1" not in pair.inventory.upstream_by_id
    assert pair.agree()
    pair.reporter.remove("u1")
    assert pair.pass_on() == ()


def test_a_lost_report_is_repaired_by_a_full_resend(pair):
    for number in range(inventory.MAX_NOTICES + 2):
        pair.reporter.observe(announcement(f"u{number}"))
    pair.pass_on()
    pair.reporter.remove("u1")
    pair.reporter.pop_reports()
    assert not pair.agree()
    pair.reporter.resend()
    first, second = pair.pass_on()
    assert (first.whole, second.whole) == (True, False)
    assert len(pair.inventory.upstream_by_id) == inventory.MAX_NOTICES + 1
    assert pair.agree()


def test_an_empty_full_resend_clears_the_leaders_inventory(pair):
    pair.reporter.observe(announcement())
    pair.pass_on()
    pair.reporter = inventory_reporter.InventoryReporter("h1")
    assert not pair.agree()
    pair.reporter.resend()
    pair.pass_on()
    assert pair.agree()
    assert pair.inventory.upstream_by_id == {}


def test_no_more_upstreams_are_reported_than_the_leader_holds(pair, monkeypatch):
    monkeypatch.setattr(inventory, "MAX_UPSTREAMS_PER_ENTRY", 2)
    pair.reporter.retain_only(announcement(f"u{number}") for number in range(3))
    pair.pass_on()
    assert len(pair.inventory.upstream_by_id) == 2
    assert pair.agree()
