"""Test that server-sent events parse the same for any split of the bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import errors
from medlarfork.http import sse

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
