"""What hosts and replicas keep of the origins of streams: bounds, files, restarts, queries."""

import dataclasses
import errno
import math
import time

import curio
import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from medlarfork.coordination import origin_manager, upstream_types
from medlarfork.gateway import origin_tracker
from medlarfork.resumption import origin_file, origin_messages, origin_table, stream_origin
from tests import curio_world

V1 = stream_origin.StreamOrigin("engines", "v1")
V2 = stream_origin.StreamOrigin("engines", "v2")


def key(number):
    return number.to_bytes(stream_origin.KEY_BYTES, "big")


def group(*numbers, origin=V1, keep_s=20):
    return origin_messages.OriginGroup(origin, keep_s, b"".join(map(key, numbers)))


def found(table, number, now=0.0):
    known = table.find(key(number), now)
    return None if known is None else known[0]


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.sampled_from([V1, V2]), st.integers(1, 200), st.floats(0, 30)
        )
    )
)
def test_a_table_knows_each_stream_for_its_time_and_none_of_two_origins(steps):
    table, told, now = origin_table.OriginTable(100), {}, 0.0
    for number, origin, keep_s, pause_s in steps:
        table.add(group(number, origin=origin, keep_s=keep_s), now)
        kept_s = min(keep_s, origin_table.MAX_KEEP_S)
        until = math.ceil((now + kept_s) / origin_table.SLOT_S) * origin_table.SLOT_S
        origins, until = told.get(number, (set(), until))
        told[number] = origins | {origin}, until
        now += pause_s
        table.expire(now)
        told = {known: item for known, item in told.items() if now < item[1]}
        for known in range(6):
            origins, _ = told.get(known, ((), 0.0))
            assert found(table, known, now) == (*origins, None)[0 if len(origins) == 1 else -1]


def test_a_full_table_drops_the_origins_that_expire_first():
    table = origin_table.OriginTable(4)
    table.add(group(1, 2, keep_s=100), 0.0)
    table.add(group(3, keep_s=10), 0.0)
    table.add(group(4, 5, origin=V2, keep_s=50), 0.0)
    assert len(table) == 4
    assert [found(table, number) for number in range(1, 6)] == [V1, V1, None, V2, V2]


def test_a_table_that_is_restored_from_the_groups_of_another_knows_the_same():
    table, restored = origin_table.OriginTable(10), origin_table.OriginTable(10)
    table.add(group(1, 2), 0.0)
    table.add(group(3, origin=V2, keep_s=60), 0.0)
    for item in table.groups(5.0):
        restored.add(item, 5.0)
    assert [found(restored, number, 18.0) for number in (1, 2, 3)] == [V1, V1, V2]
    assert restored.versions("engines") == {"v1", "v2"}


def test_keys_differ_between_accounts_and_headers_keep_any_name():
    assert stream_origin.stream_key("a", "1") != stream_origin.stream_key("b", "1")
    assert stream_origin.stream_key("a", "\x001") != stream_origin.stream_key("a\x00", "1")
    odd = stream_origin.StreamOrigin("a/b c", "v 1/ü")
    assert stream_origin.from_header(odd.to_header()) == odd
    assert stream_origin.from_header("nothing") is None


def restart(folder):
    opened = origin_file.OriginFile(folder)
    groups = opened.start()
    return opened, groups


def test_origins_survive_a_restart_but_for_a_torn_record(tmp_path):
    opened, _ = restart(tmp_path)
    opened.append((group(1),))
    opened.append((group(2, origin=V2),))
    opened.close()
    path = tmp_path / origin_file.NAMES[0]
    path.write_bytes(path.read_bytes()[:-1])
    opened, groups = restart(tmp_path)
    assert groups == (group(1),)
    opened.append((group(3),))
    opened.close()
    assert restart(tmp_path)[1] == (group(1), group(3))


# Guards against: a power loss took versions that had served for a while, but wrote no more.
def test_versions_are_synced_at_once(tmp_path, monkeypatch):
    synced = []
    monkeypatch.setattr(origin_file.os, "fsync", synced.append)
    opened, _ = restart(tmp_path)
    opened.append((group(1),))
    synced.clear()
    opened.append((group(2),))
    assert not synced
    opened.append((group(),))
    assert len(synced) == 1
    opened.close()


@pytest.mark.parametrize("offset", [0, 4, 9])
def test_a_damaged_file_ends_at_the_damage(tmp_path, offset):
    opened, _ = restart(tmp_path)
    opened.append((group(1),))
    opened.close()
    path = tmp_path / origin_file.NAMES[0]
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    assert restart(tmp_path)[1] == ()


def test_the_files_stay_bounded_and_keep_the_newest_origins(tmp_path, monkeypatch):
    monkeypatch.setattr(origin_file, "MAX_FILE_BYTES", 500)
    opened, _ = restart(tmp_path)
    for number in range(100):
        opened.append((group(number),))
    opened.close()
    # The file before the current one is whole.
    assert 500 <= sum(path.stat().st_size for path in tmp_path.iterdir()) < 1200
    groups = restart(tmp_path)[1]
    assert groups == tuple(group(number) for number in range(100 - len(groups), 100))
    assert groups


class NearlyFull:
    """A file on a disk that takes a few bytes with each write, and only so many in all."""

    def __init__(self, whole, room):
        self._whole = whole
        self._room = room

    def write(self, data):
        if self._room <= 0:
            raise OSError(errno.ENOSPC, "full")
        part = data[: min(5, self._room)]
        self._room -= len(part)
        return self._whole.write(part)

    def __getattr__(self, name):
        return getattr(self._whole, name)


def test_a_full_disk_loses_only_what_did_not_fit(tmp_path):
    opened, _ = restart(tmp_path)
    opened.append((group(1),))
    whole = opened._file
    for _ in range(2):
        opened._file = NearlyFull(whole, 12)
        with pytest.raises(OSError, match="full"):
            opened.append((group(2),))
    opened._file = NearlyFull(whole, 1000)
    opened.append((group(3),))
    opened.close()
    assert restart(tmp_path)[1] == (group(1), group(3))


class Session:
    """A fake session with replicas that the test names."""

    def __init__(self, *replicas):
        self.replicas = replicas
        self.entry_hosts = 1
        self.upstream_by_id = {}


@pytest.fixture
def sent():
    return []


@pytest.fixture
def make_tracker(sent):
    """Return a factory of trackers; replicas in ``lost`` take no message."""

    def make(*replicas, lost=()):
        def send(replica_id, message):
            if replica_id in lost:
                return False
            sent.append((replica_id, message))
            return True

        return origin_tracker.OriginTracker("e-1", Session(*replicas), send)

    return make


def reported(sent, replica_id):
    """Return the streams that a replica was told."""
    return {
        item.keys[start : start + 8]
        for name, message in sent
        if name == replica_id and isinstance(message, origin_messages.OriginReport)
        for item in message.groups
        for start in range(0, len(item.keys), 8)
    }


def test_three_replicas_get_each_origin_and_a_new_one_gets_all(make_tracker, sent):
    lost = set()
    tracker = make_tracker("r1", "r2", "r3", "r4", "r5", lost=lost)
    tracker.record(key(1), V1, 10.0)
    tracker.report()
    holders = {name for name, _ in sent}
    assert len(holders) == origin_tracker.HOLDERS
    lost.add(min(holders))
    tracker.record(key(2), V1, 10.0)
    tracker.report()
    (new,) = {name for name, _ in sent} - holders
    assert reported(sent, new) == {key(1), key(2)}


def test_a_holder_that_has_restarted_gets_all_origins_again(make_tracker, sent):
    tracker = make_tracker("r1")
    tracker.sync_if_restarted("r1", 50.0)
    tracker.record(key(1), V1, 10.0)
    tracker.report()
    sent.clear()
    tracker.sync_if_restarted("r1", 51.0)
    assert not sent
    tracker.sync_if_restarted("r1", 0.1)
    assert reported(sent, "r1") == {key(1)}


def reply_with(sent, origin):
    _, query = sent[-1]
    return origin_messages.OriginReply(query.query_id, origin)


def test_a_reply_to_the_process_before_a_restart_tells_nothing(make_tracker, sent):
    async def main():
        tracker = make_tracker("r1", "r2")
        before = make_tracker("r1", "r2")
        asking = await curio.spawn(before.find, key(1), "engines")
        await curio.sleep(0)
        old_reply = reply_with(sent, V2)
        await asking.cancel()
        asking = await curio.spawn(tracker.find, key(1), "engines")
        await curio.sleep(0)
        await tracker.apply_reply("r1", old_reply)
        await tracker.apply_reply("r2", reply_with(sent, V1))
        assert (await asking.join()).origin == V1

    curio_world.run(main)


def test_a_stream_is_unknown_once_all_replicas_have_said_so(make_tracker, sent):
    async def main():
        tracker = make_tracker("r1", "r2")
        asking = await curio.spawn(tracker.find, key(1), "engines")
        await curio.sleep(0)
        for replica_id in ("r1", "r2"):
            await tracker.apply_reply(replica_id, reply_with(sent, None))
        async with curio.timeout_after(origin_tracker.QUERY_TIMEOUT_S / 2):
            assert (await asking.join()).origin is None

    curio_world.run(main)


def test_a_stream_is_unknown_at_once_while_all_replicas_stand_still(make_tracker):
    async def main():
        began = time.monotonic()
        found_nothing = await make_tracker("r1", "r2", "r3").find(key(1), "engines")
        assert found_nothing.origin is None
        assert time.monotonic() - began < 2 * origin_tracker.QUERY_TIMEOUT_S

    curio_world.run(main)


# Guards against: a host cut off with one replica took the only version known there for all.
@pytest.mark.parametrize(("replies", "expected"), [(1, None), (2, V1)])
def test_a_single_version_counts_only_if_a_majority_of_replicas_knows_no_other(
    make_tracker, sent, replies, expected
):
    async def main():
        tracker = make_tracker("r1", "r2", "r3")
        asking = await curio.spawn(tracker.find_only_version, "engines")
        await curio.sleep(0)
        _, query = sent[-1]
        told = origin_messages.OriginReply(query.query_id, versions=("v1",), is_complete=True)
        for number in range(replies):
            await tracker.apply_reply(f"r{number + 1}", told)
        assert (await asking.join()).origin == expected

    curio_world.run(main)


def versions_known(manager, announcements, now):
    manager.see_upstreams(announcements, now)
    reply = manager.on_query("e-1", origin_messages.OriginQuery(1, b"", "engines"), now).message
    return reply.versions, reply.is_complete


@pytest.mark.parametrize(
    ("is_complete", "up_s", "expected"),
    [(True, 1.0, True), (False, 1.0, False), (False, 130, True)],
)
def test_a_replica_tells_the_versions_that_ran_lately_and_whether_these_are_all(
    make_announcement, is_complete, up_s, expected
):
    manager = origin_manager.OriginManager((group(1, origin=V2),), is_complete=is_complete)
    manager.on_tick([], 0.0)
    manager.see_upstreams([make_announcement(version="v1")], up_s - 1.0)
    versions, complete = versions_known(manager, [], up_s)
    assert versions == ("v1", "v2")
    assert complete == expected


# Guards against: after a restart of all, a version that had left was no longer known.
@pytest.mark.parametrize("left_s", [0.0, 60.0])
def test_a_version_without_known_streams_outlives_a_restart(make_announcement, left_s):
    manager = origin_manager.OriginManager((), is_complete=True)
    v1, v2 = make_announcement(version="v1"), make_announcement(version="v2")
    kept = [*manager.on_tick([], 0.0), *manager.see_upstreams([v1], 0.5)]
    kept += manager.see_upstreams([v2], 1.0)
    for second in range(2, 2 + round(left_s)):
        kept += manager.on_tick([v2], float(second))
    restored = tuple(item for action in kept for item in action.groups)
    manager = origin_manager.OriginManager(restored, is_complete=True)
    manager.on_tick([], 1000.0)
    assert versions_known(manager, [v2], 1001.0) == (("v1", "v2"), True)


def test_a_version_that_an_earlier_build_did_not_pass_on_is_not_known(make_announcement):
    manager = origin_manager.OriginManager((), is_complete=True)
    manager.on_tick([], 0.0)
    versions, complete = versions_known(manager, [make_announcement(version=None)], 1.0)
    assert (versions, complete) == ((), False)


def test_an_announcement_without_a_version_keeps_the_known_one(make_announcement):
    named = make_announcement(version="v1")
    unnamed = make_announcement(version=None, sequence=2)
    assert unnamed.with_version_of(named).version == "v1"
    assert named.with_version_of(unnamed).version == "v1"
    assert unnamed.with_version_of(None).version is None


@dataclasses.dataclass(frozen=True)
class EarlierAnnouncement:
    """An announcement of a build that knows no versions."""

    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int


def test_messages_of_builds_without_versions_state_no_version(make_announcement):
    earlier = EarlierAnnouncement("u-1", "engines", "10.0.0.1:80", "z1", 2)
    body = msgspec.msgpack.encode(earlier)
    read = msgspec.msgpack.decode(body, type=upstream_types.Announcement)
    assert read.version is None
    body = msgspec.msgpack.encode(make_announcement(version="v1"))
    assert msgspec.msgpack.decode(body, type=EarlierAnnouncement) == earlier
