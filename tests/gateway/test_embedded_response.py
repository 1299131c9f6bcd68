"""Responses inside the body of another one."""

import re
import sys
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.gateway.embedded_response import (
    HEAD_END,
    STATUS_LINE,
    EmbeddedResponseSearch,
    is_merged_head,
)
from pollenloom.platform.platform_header_codec import PlatformHeaderCodec
from pollenloom_standins.worker.responses import (
    sealed_response,
    sealed_stream_head,
)

MODULE = EmbeddedResponseSearch.__module__
CODEC = PlatformHeaderCodec()
# The event loop may stand still for 0.1 s.
MAX_SEARCH_NANOSECONDS = 100_000_000


def has_embedded(content: bytes, part_bytes: int | None = None) -> bool:
    """Whether a search of a body in parts finds another response."""
    search = EmbeddedResponseSearch(CODEC)
    size = part_bytes or max(1, len(content))
    for start in range(0, len(content), size):
        search.feed(content[start : start + size])
    return search.has_found


class CountingPattern:
    """A compiled pattern that counts the bytes it is asked to search."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern = pattern
        self.searched_bytes = 0

    def search(
        self, content: bytearray, start: int = 0, end: int = sys.maxsize
    ) -> re.Match[bytes] | None:
        """Search as the pattern does."""
        found = self.pattern.search(content, start, end)
        stop = min(end, len(content)) if found is None else found.end()
        self.searched_bytes += stop - start
        return found


@given(st.binary(max_size=200), st.binary(max_size=200))
def test_response_is_found_anywhere_in_a_body(
    before: bytes, after: bytes
) -> None:
    """Guards against a copy that is missed because of where it stands."""
    for response in (sealed_response('a1', b'ok'), sealed_stream_head('a1')):
        assert has_embedded(before + response + after)


@given(
    st.binary(max_size=200),
    st.integers(1, 20),
    st.sampled_from((b'', b'HTTP/1.1 200 OK\r\n\r\n', b'HTTP/1.1 404 a\r\n')),
)
def test_response_is_found_in_parts_of_any_size(
    before: bytes, part_bytes: int, quoted: bytes
) -> None:
    """Guards against a copy that is missed as it arrives in short parts."""
    content = before + quoted + sealed_response('a1', b'ok')
    assert has_embedded(content, part_bytes)


@pytest.mark.parametrize('distance', [0, 5000, 9000, 100_000])
@pytest.mark.parametrize('part_bytes', [1, 100, None])
def test_response_is_found_far_behind_a_quoted_status_line(
    distance: int, part_bytes: int | None
) -> None:
    """Guards against a copy that text without an end of a head hides."""
    content = b'HTTP/1.1 200 OK' + b' ' * distance + sealed_response('a1', b'')
    assert has_embedded(content, part_bytes)


@pytest.mark.parametrize('part_bytes', [1, 2, 9, 100, 1000, 65_536])
@pytest.mark.parametrize(
    'line',
    [
        b'data: no\n',
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 200\n',
        b'HTTP/1.1 200 a\r\nb: c\r\n',
        b'HTTP/1.1 200 a\r\nb: c\r\n\r\n',
        b'HTTP/1.1 200 ' + b'b: c\n' * 500 + b'\n',
    ],
)
def test_bytes_are_searched_once_in_parts_of_any_size(
    monkeypatch: pytest.MonkeyPatch, line: bytes, part_bytes: int
) -> None:
    """Guards against short parts that stop the event loop.

    Each part searched all of an event that had arrived before.
    """
    patterns = (CountingPattern(STATUS_LINE), CountingPattern(HEAD_END))
    monkeypatch.setattr(f'{MODULE}.STATUS_LINE', patterns[0])
    monkeypatch.setattr(f'{MODULE}.HEAD_END', patterns[1])
    body = line * (65_536 // len(line))
    assert not has_embedded(body, part_bytes)
    parts = len(body) // part_bytes + 1
    # Both patterns may search each byte, and a status line is searched once
    # more when its head ends or becomes too long.
    bound = 4 * len(body) + 32 * parts
    assert sum(pattern.searched_bytes for pattern in patterns) <= bound


@pytest.mark.parametrize('header', ['X-Pollenloom-Attempt-Id', 'X-Other'])
@pytest.mark.parametrize('seal', ['x-pollenloom-response-seal', 'x-seal'])
def test_header_of_a_server_tells_a_response_from_text(
    header: str, seal: str
) -> None:
    """Guards against failing bodies that only quote some HTTP."""
    text = f'HTTP/1.1 200 OK\r\n{header}: a1\r\n{seal}: s\r\n\r\nok'
    is_response = 'x-pollenloom' in f'{header}{seal}'.lower()
    assert has_embedded(text.encode()) is is_response


@pytest.mark.parametrize(
    'line', [b'HTTP/1.1 200 ', b'HTTP/1.1 200\n', b'HTTP/1.1 200 a\r\nb: c\r\n']
)
def test_time_to_search_a_body_is_bounded(line: bytes) -> None:
    """Guards against a body of status lines that stops the event loop.

    The time must not grow with the square of the length.
    """
    body = line * (8_388_608 // len(line))
    began = time.process_time_ns()
    assert not has_embedded(body)
    assert time.process_time_ns() - began < MAX_SEARCH_NANOSECONDS


@pytest.mark.parametrize(
    ('headers', 'is_merged'),
    [
        ([(b'id', b'a1'), (b'via', b'1.1 proxy')], False),
        ([(b'id', b'a1'), (b'id', b'a1')], False),
        ([(b'id', b'a1'), (b'id', b'a2')], True),
        ([(b'id', b'a1'), (b'seal', b'3eHTTP/1.1 200 OK')], True),
    ],
)
def test_lines_of_two_heads_are_told_from_one(
    headers: list[tuple[bytes, bytes]], is_merged: bool
) -> None:
    """Guards against a success with the id of one and the rest of another."""
    assert is_merged_head(headers, b'id') is is_merged


@given(st.text(alphabet='HTTP/1.0 2\r\n:ab', max_size=300))
def test_text_without_headers_of_servers_is_left_alone(text: str) -> None:
    """Guards against failing sound bodies."""
    assert not has_embedded(text.encode())
