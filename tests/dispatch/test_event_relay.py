"""Relay of complete events from arbitrarily split streams."""

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.dispatch.event_relay import EventRelay
from tests.fakes.list_sink import ListSink

event_lines = st.sampled_from(
    (b'data: {"t": 1}', b'data: a\ndata: b', b'id: 5\ndata: {}', b'data: :x')
)
comments = st.sampled_from((b': ping', b':'))
events = st.lists(st.one_of(event_lines, comments), max_size=12)
offsets = st.lists(st.integers(min_value=0, max_value=400), max_size=12)


@given(events, offsets, st.sampled_from((b'\n', b'\r\n')))
async def test_relay_does_not_depend_on_piece_boundaries(
    blocks: list[bytes],
    split_offsets: list[int],
    line_end: bytes,
) -> None:
    """Guards against events that are lost, truncated or miscounted."""
    sent = b''.join(
        block.replace(b'\n', line_end) + line_end * 2
        for block in (*blocks, b'data: [DONE]')
    )
    sink = ListSink()
    relay = EventRelay(sink)
    positions = [0, *sorted(min(offset, len(sent)) for offset in split_offsets)]
    for start, end in zip(positions, [*positions[1:], len(sent)], strict=True):
        assert not relay.finished or start == len(sent)
        await relay.feed(sent[start:end])
        assert all(piece.endswith(line_end * 2) for piece in sink.pieces)
    assert sink.relayed == sent
    assert relay.finished
    assert relay.events == 1 + sum(block[:1] != b':' for block in blocks)


async def test_done_marker_inside_an_event_is_ignored() -> None:
    """Guards against ending the stream at a token `[DONE]`."""
    relay = EventRelay(ListSink())
    await relay.feed(b'data: {"content": "data: [DONE]"}\n\n')
    await relay.feed(b'data: {"content": "a\n: data: [DONE]\n\n')
    assert not relay.finished
