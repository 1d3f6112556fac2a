"""Frame event streams, with any line end, split at any byte."""

import time
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import errors
from medlarfork.http import event_framer

MAX_CPU_S = 1.0
"""Far more than a buffer of events takes if each byte is handled once."""


@pytest.mark.parametrize("cut", range(1, 30))
def test_only_complete_events_are_passed_on_however_the_bytes_are_split(cut):
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    cutter = event_framer.EventFramer()
    first = cutter.feed(data[:cut])
    assert first.endswith(b"\n\n") or not first
    assert first + cutter.feed(data[cut:]) == data
    assert (cutter.last_id, cutter.has_events) == ("3", True)


def test_an_incomplete_event_is_discarded_before_the_stream_resumes():
    cutter = event_framer.EventFramer()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    cutter.discard_pending()
    assert cutter.last_id == "1"
    assert cutter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


LINE_ENDS = (b"\n", b"\r\n", b"\r")


def _stream(line_end, events=3):
    parts = [b"id: %d\ndata: a\ndata: b\n\n" % number for number in range(1, events + 1)]
    return [part.replace(b"\n", line_end) for part in parts]


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_each_event_is_passed_on_when_its_empty_line_arrives(line_end):
    framer = event_framer.EventFramer()
    for number, part in enumerate(_stream(line_end), 1):
        assert framer.feed(part) == part
        assert (framer.last_id, framer.has_events) == (str(number), True)
        assert not framer.is_inside_event


@pytest.mark.parametrize("line_end", LINE_ENDS)
@hypothesis.given(strategies.lists(strategies.integers(0, 90), max_size=6))
def test_a_stream_is_whole_with_any_line_end_and_any_split(line_end, offsets):
    data = b"".join(_stream(line_end))
    framer = event_framer.EventFramer()
    edges = [0, *sorted(offsets), len(data)]
    passed = [framer.feed(data[a:b]) for a, b in zip(edges, edges[1:], strict=False)]
    assert not framer.is_inside_event
    assert b"".join(passed) + framer.pending == data
    assert framer.last_id == "3"


# Guards against: a stream that broke off within an event counted as complete.
@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("after", [0, 1, 2])
def test_a_stream_that_ends_within_an_event_is_not_complete(line_end, after):
    parts = _stream(line_end)
    whole, last = b"".join(parts[:after]), parts[after]
    for cut in range(1, len(last) - len(line_end) + 1):
        framer = event_framer.EventFramer()
        passed = framer.feed(whole + last[:cut])
        assert framer.is_inside_event, last[:cut]
        assert passed == whole


@pytest.mark.parametrize(
    "rest", [b"", b"\xef\xbb\xbf", b": keep-alive\n", b":\r\n:\r\n", b"\n", b": a\n\n"]
)
def test_comments_empty_lines_and_a_byte_order_mark_are_no_broken_event(rest):
    framer = event_framer.EventFramer()
    passed = framer.feed(rest)
    assert not framer.is_inside_event
    assert passed + framer.pending == rest


@pytest.mark.parametrize("rest", [b": keep", b": a\ndata: b\n", b"retry: 5\n", b"\xef\xbb"])
def test_a_cut_line_or_a_field_without_its_empty_line_is_a_broken_event(rest):
    framer = event_framer.EventFramer()
    framer.feed(rest)
    assert framer.is_inside_event


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_the_end_of_an_event_passed_on_in_pieces_is_found_wherever_it_is_split(line_end):
    large = b"data: " + b"x" * event_framer.MAX_PENDING_BYTES
    end = line_end * 2
    for cut in range(len(end) - len(line_end) + 1):
        framer = event_framer.EventFramer()
        first = framer.feed(large + end[:cut])
        assert first == large + end[:cut]
        assert framer.is_inside_event
        assert framer.has_split
        rest = framer.feed(end[cut:] + b"data: y")
        assert framer.is_inside_event
        assert first + rest + framer.pending == large + end + b"data: y"
        rest = framer.feed(end)
        assert not framer.is_inside_event


# Guards against: an event in small parts whose beginning was copied and searched with each of them.
@pytest.mark.parametrize("part", [b"x" * 16, b":" * 16, b"x\r\ny" * 4])
def test_the_cost_of_an_event_does_not_grow_with_its_number_of_parts(part):
    framer = event_framer.EventFramer()
    framer.feed(b"data: ")
    began_at = time.process_time()
    for _ in range(event_framer.MAX_PENDING_BYTES // len(part) - 1):
        assert framer.feed(part) == b""
    assert time.process_time() - began_at < MAX_CPU_S
    assert framer.feed(b"\n\n").endswith(part + b"\n\n")


@pytest.mark.parametrize("part", [b"x" * 65536, b": c\n\n" * 8192])
def test_a_stream_that_completes_no_event_is_broken(part):
    framer = event_framer.EventFramer()
    framer.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(errors.UpstreamError):
        for _ in range(event_framer.MAX_EVENT_BYTES // len(part) + 1):
            framer.feed(part)


# Guards against: a megabyte of comments for whose matching a host took 80 MB for a moment.
def test_comments_without_end_take_little_memory():
    framer = event_framer.EventFramer()
    tracemalloc.start()
    try:
        for _ in range(20):
            framer.feed(b": x\n" * 16_384)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4 * event_framer.MAX_PENDING_BYTES
