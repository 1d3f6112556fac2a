import pytest

from medlarfork.coordination import coordination_messages, coordinator_types, entry_directory


def _status(address, zone="z1", is_ready=True):
    return coordination_messages.EntryStatus(address, zone, is_ready, 1, 0, 0)


@pytest.fixture
def directory():
    return entry_directory.EntryDirectory(ttl_s=2.0)


def test_local_hosts_are_listed_if_there_are_enough(directory):
    for name in ("a", "b"):
        directory.record_status(name, _status(name), 0.0)
    directory.record_status("c", _status("c", "z2"), 0.0)
    assert directory.find("z1", 0.1) == coordinator_types.EntriesFound(("a", "b"), 2.0)
    assert directory.find("z2", 0.1).addresses == ("a", "b", "c")


def test_silent_and_unready_hosts_are_not_listed(directory):
    directory.record_status("a", _status("a"), 0.0)
    directory.record_status("b", _status("b", is_ready=False), 2.0)
    assert isinstance(directory.find("z1", 2.0), coordinator_types.Unavailable)


def test_hosts_share_budgets_for_a_while_after_they_fell_silent(directory):
    directory.record_status("a", _status("a"), 0.0)
    directory.record_status("b", _status("b"), entry_directory.RETENTION_S - 1)
    assert directory.host_count == 2
    directory.record_status("b", _status("b"), entry_directory.RETENTION_S + 1)
    assert directory.host_count == 1
