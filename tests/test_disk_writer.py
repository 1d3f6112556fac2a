"""Slow writes to disk are logged."""

import logging
import time

import curio
import pytest

from medlarfork import node
from medlarfork.replica import _disk_writer
from tests import curio_world


class _Journal:
    """A journal that takes a fixed time for each write."""

    def __init__(self, took_s):
        self.took_s = took_s

    def append_and_sync(self, records):
        time.sleep(self.took_s)


TOOK_S = 0.06


@pytest.mark.parametrize(("slow_s", "is_logged"), [(100.0, False), (0.05, True)])
def test_a_slow_write_is_logged_with_its_duration(caplog, monkeypatch, slow_s, is_logged):
    monkeypatch.setattr(_disk_writer, "SLOW_S", slow_s)
    synced = []

    async def on_synced(event):
        synced.append(event.token)

    async def main():
        writer = _disk_writer.DiskWriter(_Journal(TOOK_S), on_synced=on_synced, on_failed=None)
        await writer.start()
        await writer.write(node.Persist(("record",), 7))
        while not synced:
            await curio.sleep(0.01)
        await writer.close()

    with caplog.at_level(logging.WARNING):
        curio_world.run(main)
    assert synced == [7]
    lines = [item.msg for item in caplog.records if item.name.endswith("_disk_writer")]
    assert [line["event"] for line in lines] == ["disk_slow"] * is_logged
    assert all(line["took_s"] >= TOOK_S for line in lines)
    assert all(TOOK_S <= line["disk_s"] <= line["took_s"] for line in lines)
