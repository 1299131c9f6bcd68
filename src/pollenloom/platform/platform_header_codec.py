"""Header names of the users' protocol."""

from collections.abc import Iterable
from http import HTTPStatus

from absl import logging

from pollenloom.core.ids import AccountId, ServerId
from pollenloom.core.units import MILLISECONDS
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.headers import Header, end_to_end, find
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.platform import wire_names
from pollenloom.routing.request_metadata import PromptPart, RequestMetadata


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the headers that `wire_names` lists."""

    id_header = wire_names.ATTEMPT_ID

    def read_metadata(self, request: RawRequest) -> RequestMetadata:
        """Decode what routing needs of a request."""
        headers = dict(request.headers)
        prompt, output = read_usage(headers.get(wire_names.TOKEN_USAGE))
        hint = read_number(headers.get(wire_names.LENGTH_HINT))
        timeout_seconds = read_number(headers.get(wire_names.DEADLINE_MS))
        return RequestMetadata(
            request_id=text_of(headers, wire_names.ATTEMPT_ID),
            key=text_of(headers, wire_names.API_KEY),
            timeout_seconds=None
            if timeout_seconds is None
            else timeout_seconds / MILLISECONDS,
            prompt_tokens=prompt,
            output_tokens=output if hint is None else int(hint),
            parts=read_parts(headers.get(wire_names.PROMPT_PREFIX)),
            last_event=text_of(headers, wire_names.LAST_EVENT_ID),
        )

    def server_headers(
        self,
        request: RawRequest,
        server: ServerId,
        account: AccountId | None,
        seconds: float,
        last_event: str,
    ) -> list[Header]:
        """Return the headers for a server."""
        dropped = wire_names.ROUTER_HEADERS
        if last_event:
            dropped |= {wire_names.LAST_EVENT_ID}
        headers = [
            header
            for header in end_to_end(request.headers)
            if header[0] not in dropped
        ]
        milliseconds = max(1, int(seconds * MILLISECONDS))
        headers.extend(
            (
                (wire_names.DEADLINE_MS, b'%d' % milliseconds),
                (wire_names.EXPECT_INSTANCE, server.encode()),
            )
        )
        if account is not None:
            headers.append((wire_names.TENANT, account.encode()))
        if last_event:
            headers.append((wire_names.LAST_EVENT_ID, last_event.encode()))
        return headers

    def is_sealed(self, head: ResponseHead) -> bool:
        """Whether an answer is proved to be a server's own."""
        return find(head.headers, wire_names.RESPONSE_SEAL) is not None

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an answer states that the request was not run."""
        is_told = find(head.headers, wire_names.NOT_EXECUTED) is not None
        return is_told or self.is_misdirected(head)

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether another server has the address."""
        return head.status == HTTPStatus.MISDIRECTED_REQUEST

    def cold_seconds(self, head: ResponseHead) -> float:
        """How long the server stays cold; 0 if it does not say."""
        cold = read_number(find(head.headers, wire_names.COLD_MS))
        return 0 if cold is None else cold / MILLISECONDS

    def refusal_headers(self, retry_after: float | None) -> Iterable[Header]:
        """Return the headers of an own refusal; the time is in seconds."""
        if retry_after is not None:
            yield b'retry-after', b'%.2f' % retry_after


def text_of(headers: dict[bytes, bytes], name: bytes) -> str:
    """Return a header's value as text; empty if there is none."""
    return headers.get(name, b'').decode('latin-1').strip()


def read_number(text: bytes | None) -> float | None:
    """Return a number of a header; None if it is none."""
    if text is None:
        return None
    try:
        return max(0, float(text))
    except ValueError:
        logging.warning('header_ignored, not a number: %r', text[:40])
        return None


def read_usage(text: bytes | None) -> tuple[int, int]:
    """Return prompt tokens and largest output; 0 if not told."""
    prompt, _, output = (text or b'').partition(b',')
    return (
        int(read_number(prompt) or 0) if prompt else 0,
        int(read_number(output) or 0) if output else 0,
    )


def read_parts(text: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if they cannot be read."""
    parts: list[PromptPart] = []
    for entry in (text or b'').split(b','):
        part, _, tokens = entry.strip().partition(b':')
        if not part:
            continue
        parts.append(
            PromptPart(part.decode('latin-1'), int(read_number(tokens) or 0)),
        )
    return tuple(parts)
