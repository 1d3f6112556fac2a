"""The inventory applies notices and detects lost ones by digests."""

import dataclasses

import pytest

from medlarfork.orders import inventory

NOTICE = inventory.UpstreamNotice("e1", 5, "http://127.0.0.1:1", models=("m",))


@pytest.fixture
def upstreams():
    return inventory.Inventory()


def report(entry, *notices, whole=False):
    return inventory.InventoryReport(entry, notices, whole)


def test_a_change_is_reported_once(upstreams):
    assert upstreams.apply(report("a", NOTICE)) == ("e1",)
    assert upstreams.apply(report("a", NOTICE)) == ()
    assert upstreams.upstream_by_id == {"e1": NOTICE}


def test_an_older_incarnation_is_ignored(upstreams):
    upstreams.apply(report("a", NOTICE))
    upstreams.apply(report("a", dataclasses.replace(NOTICE, incarnation=4, gone=True)))
    assert "e1" in upstreams.upstream_by_id


def test_an_upstream_is_present_while_one_entry_host_reports_it(upstreams):
    upstreams.apply(report("a", NOTICE))
    upstreams.apply(report("b", dataclasses.replace(NOTICE, incarnation=6)))
    gone = dataclasses.replace(NOTICE, gone=True)
    upstreams.apply(report("a", gone))
    assert upstreams.upstream_by_id["e1"].incarnation == 6
    assert upstreams.remove_entry("b") == ("e1",)
    assert upstreams.upstream_by_id == {}


def test_a_new_leader_asks_for_a_resend_until_the_digests_agree(upstreams):
    other = dataclasses.replace(NOTICE, upstream_id="e2")
    digest = inventory.notices_digest((NOTICE, other))
    assert upstreams.check_digest("a", digest) == inventory.ResendInventory("a")
    upstreams.apply(report("a", NOTICE, whole=True))
    assert upstreams.check_digest("a", digest) == inventory.ResendInventory("a")
    upstreams.apply(report("a", other))
    assert upstreams.check_digest("a", digest) is None


def test_a_lost_change_is_found_by_the_digest(upstreams):
    upstreams.apply(report("a", NOTICE))
    changed = dataclasses.replace(NOTICE, role="decode")
    assert upstreams.check_digest("a", inventory.notices_digest((changed,))) is not None


def test_a_whole_report_removes_upstreams_that_it_does_not_list(upstreams):
    upstreams.apply(report("a", NOTICE))
    assert upstreams.apply(report("a", whole=True)) == ("e1",)
    assert upstreams.check_digest("a", 0) is None


def test_the_inventory_is_bounded(upstreams, monkeypatch):
    monkeypatch.setattr(inventory, "MAX_UPSTREAMS_PER_ENTRY", 1)
    monkeypatch.setattr(inventory, "MAX_ENTRIES", 1)
    upstreams.apply(report("a", NOTICE, dataclasses.replace(NOTICE, upstream_id="e2")))
    upstreams.apply(report("b", NOTICE))
    assert set(upstreams.upstream_by_id) == {"e1"}
    assert upstreams.refused == 2
