"""Responses inside the body of another one."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.gateway.embedded_response import (
    has_embedded_response,
    is_merged_head,
)
from pollenloom.platform.platform_header_codec import PlatformHeaderCodec
from pollenloom_standins.worker.responses import (
    sealed_response,
    sealed_stream_head,
)

CODEC = PlatformHeaderCodec()
# The event loop may stand still for 0.1 s.
MAX_SEARCH_NANOSECONDS = 100_000_000


@given(st.binary(max_size=200), st.binary(max_size=200))
def test_response_is_found_anywhere_in_a_body(
    before: bytes, after: bytes
) -> None:
    """Guards against a copy that is missed because of where it stands."""
    for response in (sealed_response('a1', b'ok'), sealed_stream_head('a1')):
        assert has_embedded_response(before + response + after, CODEC)


@pytest.mark.parametrize('header', ['X-Pollenloom-Attempt-Id', 'X-Other'])
@pytest.mark.parametrize('seal', ['x-pollenloom-response-seal', 'x-seal'])
def test_header_of_a_server_tells_a_response_from_text(
    header: str, seal: str
) -> None:
    """Guards against failing bodies that only quote some HTTP."""
    text = f'HTTP/1.1 200 OK\r\n{header}: a1\r\n{seal}: s\r\n\r\nok'
    is_response = 'x-pollenloom' in f'{header}{seal}'.lower()
    assert has_embedded_response(text.encode(), CODEC) is is_response


@pytest.mark.parametrize(
    'line', [b'HTTP/1.1 200 ', b'HTTP/1.1 200\n', b'HTTP/1.1 200 a\r\nb: c\r\n']
)
def test_time_to_search_a_body_is_bounded(line: bytes) -> None:
    """Guards against a body of status lines that stops the event loop.

    The time must not grow with the square of the length.
    """
    body = line * (8_388_608 // len(line))
    began = time.process_time_ns()
    assert not has_embedded_response(body, CODEC)
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
    assert not has_embedded_response(text.encode(), CODEC)
