"""Probes of upstreams by an entry host that may have lost its links to them."""

import contextlib
import time

import curio
import pytest

from medlarfork.http import http_client, reachability_prober
from tests import curio_world

ACCEPTS = http_client.Reachability.ACCEPTS
REFUSES = http_client.Reachability.REFUSES
SILENT = http_client.Reachability.SILENT


@pytest.fixture
def changes():
    return []


@pytest.fixture
def make_prober(changes):
    """Return a factory of probers of one service, given what each probe finds."""

    def make(found, upstreams=3):
        prober = reachability_prober.ReachabilityProber("e-1", lambda: changes.append(1))
        prober.reachability.use_addresses({"s": [f"10.0.0.{n}:80" for n in range(upstreams)]})
        prober.probed = []

        async def reach(address, *, within_s):
            prober.probed.append(address)
            if found is ACCEPTS:
                prober.on_connected(address)
            elif found is SILENT:
                prober.on_connect_failed(address)
            return found or SILENT

        prober.use_client(reach)
        return prober

    return make


@contextlib.asynccontextmanager
async def running(prober):
    task = await curio.spawn(prober.run)
    try:
        yield
    finally:
        await task.cancel()


def test_silence_during_an_attempt_makes_the_service_unreachable_and_is_reported(
    make_prober, changes
):
    async def main():
        prober = make_prober(SILENT)
        async with running(prober):
            await prober.begin_attempt("t-1")
            await curio_world.until(lambda: prober.reachability.is_cut_off)
        assert len(set(prober.probed)) == 3
        assert changes == [1]

    curio_world.run(main)


def test_nothing_is_probed_while_nothing_is_sent(make_prober):
    async def main():
        prober = make_prober(SILENT)
        async with running(prober):
            await curio.sleep(0.6)
        assert prober.probed == []

    curio_world.run(main)


def test_a_service_is_reachable_again_with_the_first_accepted_probe(make_prober, changes):
    async def main():
        prober = make_prober(ACCEPTS)
        for number in range(3):
            prober.on_connect_failed(f"http://10.0.0.{number}:80")
        assert prober.reachability.is_cut_off
        async with running(prober):
            await prober.begin_attempt("t-1")
            await curio_world.until(lambda: not prober.reachability.is_cut_off)
        assert len(prober.probed) == 1
        assert changes == [1, 1]

    curio_world.run(main)


# Guards against: probes that fail without a connection kept all other tasks from running.
def test_probes_that_show_nothing_leave_time_for_other_tasks(make_prober):
    async def main():
        prober = make_prober(None)
        async with running(prober):
            await prober.begin_attempt("t-1")
            await curio.sleep(1.0)
        assert 0 < len(prober.probed) <= 0.6 / reachability_prober.PROBE_PAUSE_S

    curio_world.run(main)


# Guards against: crashes that a host did not count, since it took itself for cut off when the first
# other upstream that it looked at had crashed, too.
@pytest.mark.parametrize(("refusing", "contact"), [(4, True), (5, False)])
def test_upstreams_are_probed_until_one_accepts_or_all_have_refused(make_prober, refusing, contact):
    async def main():
        prober = make_prober(None, upstreams=6)
        failed = "10.0.0.0:80"

        async def reach(address, *, within_s):
            prober.probed.append(address)
            if len(prober.probed) > refusing:
                return ACCEPTS
            prober.on_connect_failed(address, is_refusal=True)
            return REFUSES

        prober.use_client(reach)
        prober.on_connect_failed(f"http://{failed}", is_refusal=True)
        assert await prober.has_other_contact(failed, time.monotonic()) is contact
        assert len(set(prober.probed)) == len(prober.probed) == 5

    curio_world.run(main)


@pytest.mark.parametrize(("found", "contact"), [(ACCEPTS, True), (SILENT, False)])
def test_contact_with_another_upstream_is_probed_unless_bytes_have_arrived(
    make_prober, found, contact
):
    async def main():
        prober = make_prober(found)
        failed = "10.0.0.0:80"
        assert await prober.has_other_contact(failed, time.monotonic()) is contact
        assert len(prober.probed) == 1
        assert prober.probed[0] != "http://10.0.0.0:80"
        prober.on_received()
        assert await prober.has_other_contact(failed, 0.0)
        assert len(prober.probed) == 1

    curio_world.run(main)
