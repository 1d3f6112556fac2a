"""Test that server-sent events parse the same for any split of the bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import errors
from medlarfork.http import event_framer, sse

STREAM = b': hello\n\nid: 1\ndata: {"a": "\xc3\xa9"}\n\r\ndata: x\r\ndata:y\n\ndata: [DONE]\n\n'
EVENTS = (sse.Event('{"a": "é"}', "1"), sse.Event("x\ny"), sse.Event(sse.DONE))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=6))
def test_any_split_gives_the_same_events(offsets: list[int]) -> None:
    parser = sse.EventParser()
    edges = [0, *sorted(offsets), len(STREAM)]
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events.extend(parser.feed(STREAM[start:end]))
    assert tuple(events) == EVENTS
    assert not parser.pending


def test_an_incomplete_event_is_pending_and_not_returned() -> None:
    parser = sse.EventParser()
    assert parser.feed(b"data: [DONE]\n") == ()
    assert parser.pending


@pytest.mark.parametrize("flood", [b"x" * 101, b"data: 1234\n" * 11])
def test_an_endless_event_is_rejected(flood: bytes) -> None:
    with pytest.raises(errors.UpstreamError):
        sse.EventParser(event_bytes=100).feed(flood)


def test_encoded_events_are_parsed_back() -> None:
    assert sse.EventParser().feed(sse.encode("{}", "7")) == (sse.Event("{}", "7"),)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@hypothesis.given(offsets=strategies.lists(strategies.integers(0, 60), max_size=6))
def test_any_line_end_and_a_byte_order_mark_give_the_same_events(
    line_end: bytes, offsets: list[int]
) -> None:
    lines = (b"\xef\xbb\xbfid: 1", b"data: a", b"", b": c", b"data: x", b"data:y", b"", b"")
    data = line_end.join(lines)
    parser = sse.EventParser()
    edges = [0, *sorted(offsets), len(data)]
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events.extend(parser.feed(data[start:end]))
    assert events == [sse.Event("a", "1"), sse.Event("x\ny")]
    assert not parser.pending


def test_an_event_is_returned_as_soon_as_its_last_carriage_return_arrives() -> None:
    assert sse.EventParser().feed(b"data: a\r\r") == (sse.Event("a"),)


def test_a_field_without_the_empty_line_is_pending() -> None:
    parser = sse.EventParser()
    parser.feed(b": comment\nid: 3\n")
    assert parser.pending


def test_event_streams_are_recognised_by_media_type() -> None:
    assert event_framer.is_event_stream({"content-type": "Text/Event-Stream; charset=utf-8"})
    assert not event_framer.is_event_stream({"content-type": "text/event-streams"})
    assert not event_framer.can_be_framed(
        {"content-type": event_framer.MEDIA_TYPE, "content-encoding": "br"}
    )
