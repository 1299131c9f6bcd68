"""Encoding and decoding of the platform's HTTP headers."""

import math
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from absl import logging

from pollenloom.core.ids import AccountId, ServerId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import Header, end_to_end_headers, find_header
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.platform import wire_names
from pollenloom.routing.named_limit import MAX_RATE
from pollenloom.routing.request_metadata import PromptPart, RequestMetadata
from pollenloom.routing.server_notice import ServerNotice

# As for bodies of the own interface. Larger numbers, of which one caller could
# state any, would make the usage of its account infinite.
MAX_TOKENS: Final = 10_000_000
# A day; requests and cold starts take seconds to minutes.
MAX_MILLISECONDS: Final = 86_400_000.0


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the headers that `wire_names` lists."""

    id_header = wire_names.ATTEMPT_ID

    def read_metadata(self, request: RawRequest) -> RequestMetadata:
        """Return the metadata of a request that routing needs.

        A length hint replaces the output tokens of the usage header.
        """
        headers = dict(request.headers)
        prompt, output = parse_token_usage(headers.get(wire_names.TOKEN_USAGE))
        hint = parse_tokens(headers.get(wire_names.LENGTH_HINT))
        remaining_ms = parse_number(
            headers.get(wire_names.DEADLINE_MS), MAX_MILLISECONDS
        )
        return RequestMetadata(
            request_id=header_text(headers, wire_names.ATTEMPT_ID),
            api_key=header_text(headers, wire_names.API_KEY),
            timeout_seconds=None
            if remaining_ms is None
            else remaining_ms / MILLISECONDS_PER_SECOND,
            prompt_tokens=prompt,
            output_tokens=output if hint is None else hint,
            parts=parse_prompt_parts(headers.get(wire_names.PROMPT_PREFIX)),
            last_event_id=header_text(headers, wire_names.LAST_EVENT_ID),
        )

    def server_headers(
        self,
        request: RawRequest,
        server: ServerId,
        account: AccountId | None,
        timeout_seconds: float,
        last_event_id: str,
    ) -> list[Header]:
        """Return the headers of the request to a backend server.

        Args:
            request: Request of the caller.
            server: Backend server that must run the request.
            account: Client account; None on public routes or if no API keys
                are configured.
            timeout_seconds: Time that the server has for its response.
            last_event_id: Id of the last event of a stream to resume, or empty.
        """
        dropped = wire_names.ROUTER_HEADERS
        if last_event_id:
            dropped |= {wire_names.LAST_EVENT_ID}
        headers = [
            header
            for header in end_to_end_headers(request.headers)
            if header[0] not in dropped
        ]
        milliseconds = max(1, int(timeout_seconds * MILLISECONDS_PER_SECOND))
        headers.extend(
            (
                (wire_names.DEADLINE_MS, b'%d' % milliseconds),
                (wire_names.EXPECT_INSTANCE, server.encode()),
            )
        )
        if account is not None:
            headers.append((wire_names.TENANT, account.encode()))
        if last_event_id:
            headers.append((wire_names.LAST_EVENT_ID, last_event_id.encode()))
        return headers

    def is_sealed(self, head: ResponseHead) -> bool:
        """Whether a response is proved to come from a backend server."""
        return find_header(head.headers, wire_names.RESPONSE_SEAL) is not None

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether a response states that the request was not run."""
        is_reported = (
            find_header(head.headers, wire_names.NOT_EXECUTED) is not None
        )
        return is_reported or self.is_misdirected(head)

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether the address now belongs to another server."""
        return head.status == HTTPStatus.MISDIRECTED_REQUEST

    def cold_seconds(self, head: ResponseHead) -> float:
        """Seconds until the server is warm; 0 if it reports none."""
        text = find_header(head.headers, wire_names.COLD_MS)
        cold = parse_number(text, MAX_MILLISECONDS)
        return 0 if cold is None else cold / MILLISECONDS_PER_SECOND

    def server_notice(self, head: ResponseHead) -> ServerNotice:
        """Return what the server states of itself.

        A misdirected request was answered by another server.
        """
        limit = find_header(head.headers, wire_names.SERVER_LIMIT)
        leaving = find_header(head.headers, wire_names.SERVER_LEAVING)
        return ServerNotice(
            is_leaving=leaving == b'1' and not self.is_misdirected(head),
            rate_limit=parse_number(limit, MAX_RATE),
            is_rejection=self.is_not_run(head),
        )

    def rejection_headers(self, retry_after: float | None) -> Iterable[Header]:
        """Return the headers of a response that rejects a request.

        Args:
            retry_after: Seconds to wait before the next attempt, None to
                leave the header out.
        """
        if retry_after is not None:
            yield b'retry-after', b'%.2f' % retry_after


def header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    """Return the value of a header as text; empty if it is missing."""
    return headers.get(name, b'').decode('latin-1').strip()


def parse_number(text: bytes | None, largest: float) -> float | None:
    """Return the number in a header value, at least 0 and at most `largest`.

    None if the header is missing or holds no number.
    """
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        logging.warning('header_ignored, not a number: %r', text[:40])
        return None
    return min(max(0, number), largest)


def parse_tokens(text: bytes | None) -> int | None:
    """Return the number of tokens in a header value; None if it has none."""
    number = parse_number(text, MAX_TOKENS)
    return None if number is None else int(number)


def parse_token_usage(text: bytes | None) -> tuple[int, int]:
    """Return prompt tokens and maximum output tokens; 0 where missing."""
    prompt, _, output = (text or b'').partition(b',')
    return (
        parse_tokens(prompt or None) or 0,
        parse_tokens(output or None) or 0,
    )


def parse_prompt_parts(text: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; entries without an id are skipped."""
    parts: list[PromptPart] = []
    for entry in (text or b'').split(b','):
        part, _, tokens = entry.strip().partition(b':')
        if not part:
            continue
        parts.append(
            PromptPart(part.decode('latin-1'), parse_tokens(tokens) or 0),
        )
    return tuple(parts)
