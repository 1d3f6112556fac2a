"""Singleton duties of real processes: holders that are killed, suspended or restarted."""

import signal
import time

import pytest

from tests.processes import platform_server, routed_fleet

WINDOW_S = 1.0
LEASE_S = 2.0
REPORT_TIMEOUT_S = 30.0
"""Timeout for a new holder to report everything, in seconds: an election, the old lease, a window,
and a busy machine."""


@pytest.fixture
def platform():
    made = platform_server.PlatformServer(f"{routed_fleet.new_network()}.1")
    yield made
    made.close()


@pytest.fixture
def fleet(tmp_path, platform):
    duties = f"""
        [duties]
        address = "{platform.address}"
        duties = ["usage"]
        lease_s = {LEASE_S}
        usage_window_s = {WINDOW_S}
        """
    made = routed_fleet.Fleet(
        tmp_path, entries=2, engines=1, duties=duties, usage_window_s=WINDOW_S
    )
    made.put_route()
    made.until_known()
    yield made
    made.close()


def _call(fleet, count):
    for _ in range(count):
        assert fleet.call("hello")[0] == 200
        time.sleep(0.05)


def _wait_until_reported(platform, requests):
    end_at = time.monotonic() + REPORT_TIMEOUT_S
    while platform.reported < requests:
        assert time.monotonic() < end_at, f"{platform.reported} of {requests} were reported"
        time.sleep(0.1)
    # Duplicate reports would arrive now.
    time.sleep(2 * WINDOW_S)
    assert platform.reported == requests
    assert platform.faults == []


@pytest.mark.parametrize("stop", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
def test_another_replica_takes_over_once_the_lease_of_the_holder_expires(fleet, platform, stop):
    _call(fleet, 20)
    _wait_until_reported(platform, 20)
    holder, fence = platform.holder, platform.fence
    fleet.process_by_host[holder].send_signal(stop)
    stopped_at = time.monotonic()
    _call(fleet, 40)
    _wait_until_reported(platform, 60)
    assert platform.fence > fence
    first_at = min(at for at, other, _ in platform.calls if other != holder)
    assert first_at > stopped_at + LEASE_S / 2
    if stop == signal.SIGSTOP:
        fleet.process_by_host[holder].send_signal(signal.SIGCONT)
        _call(fleet, 20)
        _wait_until_reported(platform, 80)


def test_after_a_full_restart_fences_increase_and_reports_stay(fleet, platform):
    _call(fleet, 20)
    _wait_until_reported(platform, 20)
    fence = platform.fence
    fleet.restart_all()
    fleet.until_known()
    _call(fleet, 20)
    _wait_until_reported(platform, 40)
    assert platform.fence > fence
