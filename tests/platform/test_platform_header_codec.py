"""Tests of the headers of callers and backend servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import AccountId, ServerId
from pollenloom.gateway.headers import (
    MAX_KEEP_ALIVE_SECONDS,
    Header,
    keep_alive_seconds,
)
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.platform.platform_header_codec import (
    MAX_MILLISECONDS,
    MAX_TOKENS,
    PlatformHeaderCodec,
)
from pollenloom.routing.named_limit import MAX_RATE


def make_request(*headers: Header) -> RawRequest:
    """Return a request with the given headers."""
    return RawRequest(b'POST', b'/a/', headers, b'', 0, keeps_alive=True)


@pytest.fixture
def header_codec() -> PlatformHeaderCodec:
    """Return the codec under test."""
    return PlatformHeaderCodec()


def test_key_and_claimed_account_do_not_reach_a_server(
    header_codec: PlatformHeaderCodec,
) -> None:
    """Guards against a leaked API key and an account forged by a caller.

    Headers that only the router may set are removed from the request.
    """
    request = make_request(
        (b'api-key', b'secret'),
        (b'x-pollenloom-tenant', b'somebody'),
        (b'x-pollenloom-hold', b'h'),
        (b'kv-from', b'1.2.3.4:5/x'),
        (b'accept', b'*/*'),
    )
    account = AccountId('shop')
    headers = header_codec.server_headers(
        request, ServerId('i-1'), account, 2, ''
    )
    assert (b'accept', b'*/*') in headers
    assert (b'x-pollenloom-tenant', b'shop') in headers
    assert (b'x-pollenloom-deadline-ms', b'2000') in headers
    assert (b'x-pollenloom-expect-instance', b'i-1') in headers
    names = [name for name, _ in headers]
    assert b'api-key' not in names
    assert b'x-pollenloom-hold' not in names
    assert b'kv-from' not in names
    assert names.count(b'x-pollenloom-tenant') == 1


def test_connection_headers_are_not_forwarded(
    header_codec: PlatformHeaderCodec,
) -> None:
    """Guards against framing headers of the caller's connection.

    Forwarded, they would frame a message that the router never sent.
    """
    request = make_request(
        (b'connection', b'keep-alive'),
        (b'transfer-encoding', b'chunked'),
        (b'content-length', b'3'),
    )
    names = {
        name
        for name, _ in header_codec.server_headers(
            request, ServerId('i-1'), None, 1, ''
        )
    }
    assert names == {
        b'x-pollenloom-deadline-ms',
        b'x-pollenloom-expect-instance',
    }


def test_metadata_is_decoded(header_codec: PlatformHeaderCodec) -> None:
    """Guards against swapped prompt parts, token counts or time units."""
    metadata = header_codec.read_metadata(
        make_request(
            (b'x-pollenloom-attempt-id', b'a1'),
            (b'x-pollenloom-token-usage', b'1460,80'),
            (b'x-pollenloom-prompt-prefix', b'aa:800,bb:410,cc:250'),
            (b'x-pollenloom-deadline-ms', b'1500'),
        )
    )
    assert metadata.request_id == 'a1'
    assert metadata.timeout_seconds == pytest.approx(1.5)
    assert (metadata.prompt_tokens, metadata.shared_tokens) == (1460, 1210)
    assert metadata.affinity_key == 'bb'
    assert metadata.cost == 1620


@pytest.mark.parametrize(
    'text',
    [b'', b'x', b',,', b'1', b'-5,3', b'nan,1', b'inf,1', b'aa:inf', b'1e999'],
)
def test_malformed_numbers_are_ignored(
    header_codec: PlatformHeaderCodec,
    text: bytes,
) -> None:
    """Guards against a malformed header that ends a connection's task."""
    metadata = header_codec.read_metadata(
        make_request(
            (b'x-pollenloom-token-usage', text),
            (b'x-pollenloom-prompt-prefix', text),
            (b'x-pollenloom-length-hint', text),
        )
    )
    assert metadata.prompt_tokens >= 0


@given(
    st.one_of(
        st.binary(max_size=30),
        st.floats().map(lambda number: repr(number).encode()),
        st.integers().map(lambda number: b'%d' % number),
        st.sampled_from((b'9' * 400, b'9' * 5000, b'1e308', b'-1e308')),
    )
)
def test_odd_numbers_are_read_within_bounds(text: bytes) -> None:
    """Guards against numbers that overflow in the arithmetic of admission."""
    header_codec = PlatformHeaderCodec()
    prefix = b'aa:%b,bb:%b' % (text, text)
    metadata = header_codec.read_metadata(
        make_request(
            (b'x-pollenloom-token-usage', b'%b,%b' % (text, text)),
            (b'x-pollenloom-length-hint', text),
            (b'x-pollenloom-prompt-prefix', prefix),
            (b'x-pollenloom-deadline-ms', text),
        )
    )
    headers = (
        (b'server-limit', text),
        (b'x-pollenloom-cold-ms', text),
        (b'keep-alive', b'timeout=%b' % text),
    )
    head = ResponseHead(200, headers, is_framed=True)
    assert 0 <= metadata.prompt_tokens <= MAX_TOKENS
    assert 0 <= metadata.output_tokens <= MAX_TOKENS
    assert all(0 <= part.tokens <= MAX_TOKENS for part in metadata.parts)
    assert 0 <= (metadata.timeout_seconds or 0) <= MAX_MILLISECONDS
    assert 0 <= (header_codec.server_notice(head).rate_limit or 0) <= MAX_RATE
    assert 0 <= header_codec.cold_seconds(head) <= MAX_MILLISECONDS
    keep_alive = keep_alive_seconds(headers) or 0
    assert 0 <= keep_alive <= MAX_KEEP_ALIVE_SECONDS


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        (b'6.25', 6.25),
        (b'0', 0),
        (b'1e308', MAX_RATE),
        (b'x', None),
        (b'inf', None),
        (None, None),
    ],
)
def test_request_limit_is_decoded(
    header_codec: PlatformHeaderCodec, text: bytes | None, rate: float | None
) -> None:
    """Guards against a limit of a server that is missed or misread."""
    headers = () if text is None else ((b'server-limit', text),)
    head = ResponseHead(200, headers, is_framed=True)
    assert header_codec.server_notice(head).rate_limit == rate


@pytest.mark.parametrize(
    ('text', 'status', 'is_leaving'),
    [
        (b'1', 200, True),
        (b'1', 503, True),
        (b'1', 421, False),
        (b'0', 200, False),
        (b'', 200, False),
        (None, 200, False),
    ],
)
def test_leaving_server_is_decoded(
    header_codec: PlatformHeaderCodec,
    text: bytes | None,
    status: int,
    is_leaving: bool,
) -> None:
    """Guards against a leaving server that is missed, or taken for another."""
    headers = () if text is None else ((b'server-leaving', text),)
    head = ResponseHead(status, headers, is_framed=True)
    assert header_codec.server_notice(head).is_leaving is is_leaving
