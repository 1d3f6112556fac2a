"""The journal returns what was synced, truncates a torn tail and rejects any other damage."""

import errno
import itertools
import os

import pytest

from medlarfork import errors
from medlarfork.replica import _journal_format, journal, replica_types

RECORDS = tuple(f"record {number}".encode() for number in range(5))


@pytest.fixture
def folder(tmp_path):
    """Return a data folder with five records in a closed journal."""
    made = journal.Journal(tmp_path / "data")
    made.start()
    made.append_and_sync(RECORDS[:2])
    made.append_and_sync(RECORDS[2:])
    made.close()
    return tmp_path / "data"


def restart(folder):
    opened = journal.Journal(folder)
    restored = opened.start()
    opened.close()
    return restored


def change(folder, edit):
    """Edit the journal file's bytes."""
    path = folder / journal.JOURNAL_NAME
    data = bytearray(path.read_bytes())
    path.write_bytes(edit(data))


def flip(data, offset):
    data[offset] ^= 0x40
    return data


def test_an_empty_folder_is_fresh_and_a_used_one_is_not(tmp_path, folder):
    assert restart(tmp_path / "other").fresh
    assert restart(tmp_path / "other").fresh
    assert restart(folder) == replica_types.Restored(RECORDS, None, fresh=False)


@pytest.mark.parametrize("cut", [1, 8, 20])
def test_a_torn_tail_is_truncated_and_the_journal_continues(folder, cut):
    change(folder, lambda data: data[:-cut])
    opened = journal.Journal(folder)
    assert opened.start().records == RECORDS[:4]
    opened.append_and_sync([b"next"])
    opened.close()
    assert restart(folder).records == (*RECORDS[:4], b"next")


def test_garbage_after_the_last_record_is_a_torn_tail(folder):
    change(folder, lambda data: data + bytes(100) + b"\xd7MJR" + bytes(30))
    assert restart(folder).records == RECORDS


def frame_starts(data):
    starts = [at for at in range(len(data)) if data.startswith(b"\xd7MJR", at)]
    return [*starts, len(data)]


def test_every_flipped_byte_before_the_last_sync_is_damage(folder):
    path = folder / journal.JOURNAL_NAME
    intact = path.read_bytes()
    last_write = frame_starts(intact)[2]
    for offset in range(last_write):
        path.write_bytes(flip(bytearray(intact), offset))
        with pytest.raises(errors.DamagedJournalError, match="Move the data folder away"):
            restart(folder)


def test_a_flipped_byte_of_the_last_write_keeps_the_valid_records_before_it(folder):
    # The file doesn't show whether its last write was synced; only a later write records that.
    path = folder / journal.JOURNAL_NAME
    intact = path.read_bytes()
    starts = frame_starts(intact)
    for offset in range(starts[2], len(intact)):
        path.write_bytes(flip(bytearray(intact), offset))
        kept = sum(end <= offset for end in starts[1:])
        assert restart(folder).records == RECORDS[:kept]


def test_lost_repeated_and_reordered_records_are_damage(folder):
    opened = journal.Journal(folder)
    opened.start()
    opened.append_and_sync([b"after"])
    opened.close()
    path = folder / journal.JOURNAL_NAME
    intact = path.read_bytes()
    starts = frame_starts(intact)
    frames = [intact[start:end] for start, end in zip(starts, starts[1:], strict=False)]
    head = intact[: starts[0]]
    for order in ([0, 2, 3, 4, 5], [0, 1, 1, 2, 3, 4, 5], [0, 2, 1, 3, 4, 5], [0, 1, 2, 4, 3, 5]):
        path.write_bytes(head + b"".join(frames[at] for at in order))
        with pytest.raises(errors.DamagedJournalError):
            restart(folder)


@pytest.mark.parametrize("fates", list(itertools.product(("there", "missing", "torn"), repeat=4)))
def test_after_a_power_loss_any_part_of_the_unsynced_writes_may_be_there(folder, fates):
    path = folder / journal.JOURNAL_NAME
    synced_bytes = path.stat().st_size
    opened = journal.Journal(folder)
    opened.start()
    unsynced = [f"unsynced {number}".encode() for number in range(4)]
    frames, _ = _journal_format.encode_frames(
        unsynced, salt=opened._salt, checksum=opened._checksum, synced_bytes=synced_bytes
    )
    opened.close()
    starts = frame_starts(frames)
    data = bytearray(path.read_bytes() + frames)
    for start, end, fate in zip(starts, starts[1:], fates, strict=False):
        lost_from = {"there": end, "missing": start, "torn": (start + end) // 2}[fate]
        data[synced_bytes + lost_from : synced_bytes + end] = bytes(end - lost_from)
    path.write_bytes(bytes(data))
    intact = [fate == "there" for fate in fates]
    kept = intact.index(False) if False in intact else len(intact)
    assert restart(folder).records == (*RECORDS, *unsynced[:kept])
    assert restart(folder).records == (*RECORDS, *unsynced[:kept])


def test_a_full_disk_refuses_a_write_and_accepts_it_once_there_is_space(folder, monkeypatch):
    opened = journal.Journal(folder)
    opened.start()
    sync = os.fsync

    def raise_no_space(descriptor):
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "fsync", raise_no_space)
    with pytest.raises(errors.DiskFullError):
        opened.append_and_sync([b"next"])
    with pytest.raises(errors.DiskFullError):
        opened.save_snapshot(b"state", [b"kept"])
    monkeypatch.setattr(os, "fsync", sync)
    opened.append_and_sync([b"next"])
    opened.close()
    assert restart(folder).records == (*RECORDS, b"next")
    assert not (folder / journal.NEW_JOURNAL_NAME).exists()


def test_a_snapshot_replaces_what_was_before_it(folder):
    opened = journal.Journal(folder)
    opened.start()
    opened.save_snapshot(b"state", [b"kept"])
    opened.append_and_sync([b"after"])
    opened.close()
    assert restart(folder) == replica_types.Restored((b"kept", b"after"), b"state", fresh=False)


@pytest.mark.parametrize("is_cut", [True, False])
def test_a_bad_end_of_a_file_that_a_snapshot_created_is_damage(folder, is_cut):
    opened = journal.Journal(folder)
    opened.start()
    opened.save_snapshot(b"state", [b"kept"])
    opened.close()
    change(folder, lambda data: data[:-1] if is_cut else flip(data, len(data) - 1))
    with pytest.raises(errors.DamagedJournalError):
        restart(folder)


def test_a_crash_while_a_snapshot_is_saved_leaves_the_old_journal(folder, monkeypatch):
    opened = journal.Journal(folder)
    opened.start()

    def fail(descriptor):
        raise OSError(5, "input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(errors.JournalError):
        opened.save_snapshot(b"state", [b"kept"])
    opened.close()
    monkeypatch.undo()
    assert (folder / journal.NEW_JOURNAL_NAME).exists()
    assert restart(folder).records == RECORDS
    assert not (folder / journal.NEW_JOURNAL_NAME).exists()


def test_a_failed_sync_is_never_retried(folder, monkeypatch):
    opened = journal.Journal(folder)
    opened.start()
    calls = []

    def fail(descriptor):
        calls.append(descriptor)
        raise OSError(5, "input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    for _ in range(2):
        with pytest.raises(errors.JournalError):
            opened.append_and_sync([b"x"])
    with pytest.raises(errors.JournalError):
        opened.save_snapshot(b"state", [])
    opened.close()
    assert len(calls) == 1


def test_several_records_share_one_sync(folder, monkeypatch):
    opened = journal.Journal(folder)
    opened.start()
    calls = []
    monkeypatch.setattr(os, "fsync", calls.append)
    opened.append_and_sync([b"x"] * 100)
    opened.close()
    assert len(calls) == 1


def test_a_folder_has_one_process(folder):
    first = journal.Journal(folder)
    first.start()
    with pytest.raises(errors.JournalError, match="Give every replica a data folder of its own"):
        restart(folder)
    first.close()
    restart(folder)
