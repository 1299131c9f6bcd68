"""Load of callers on a router."""

import asyncio
from collections.abc import AsyncGenerator, Iterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from pollenloom_standins.capacity.hot_path_fleet import MODEL_SERVICE
from pollenloom_standins.capacity.service_files import api_key

STATUS_OK: Final = 200
LAST_EVENT: Final = b'data: [DONE]\n\n'
# Events after the last token: the usage and the end of the stream.
CLOSING_EVENTS: Final = 2
CALL_TIMEOUT_SECONDS: Final = 120


class UnexpectedResponseError(Exception):
    """A router did not relay the response of the backend server."""


class HotPathLoad:
    """Sends requests to a router and checks each response."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    @classmethod
    @asynccontextmanager
    async def opened(cls, account: int) -> AsyncGenerator['HotPathLoad', None]:
        """Open a session with the API key of an account.

        Args:
            account: Number of the account in the service files.
        """
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            headers={'Authorization': f'Bearer {api_key(account)}'},
        ) as session:
            yield cls(session)

    async def stream_many(self, url: str, streams: int, events: int) -> None:
        """Read a number of streams concurrently."""
        await asyncio.gather(
            *(self.stream(url, events) for _ in range(streams)),
        )

    async def stream(self, url: str, events: int) -> None:
        """Send a model request and read its stream to the end.

        Raises:
            UnexpectedResponseError: If the stream is not complete.
        """
        async with self.session.post(
            f'{url}/v1/chat/completions',
            json=model_body(events, stream=True),
        ) as response:
            status, text = response.status, await response.read()
        count = text.count(b'data: ')
        is_complete = text.endswith(LAST_EVENT) and status == STATUS_OK
        if not is_complete or count != events + CLOSING_EVENTS:
            raise UnexpectedResponseError(
                f'status {status}, {count} events: {text[-300:].decode()}',
            )

    async def call_many(
        self,
        url: str,
        calls: int,
        concurrency: int,
        *,
        model: bool,
    ) -> None:
        """Make calls without streams, `concurrency` of them at a time."""
        remaining = iter(range(calls))
        await asyncio.gather(
            *(
                self.call_in_turn(url, remaining, model=model)
                for _ in range(concurrency)
            ),
        )

    async def call_in_turn(
        self,
        url: str,
        remaining: Iterator[int],
        *,
        model: bool,
    ) -> None:
        """Make calls one after another until `remaining` is exhausted."""
        for _ in remaining:
            await self.call(url, model=model)

    async def call(self, url: str, *, model: bool) -> None:
        """Make one call without a stream.

        Raises:
            UnexpectedResponseError: If the status is not 200.
        """
        if model:
            request = self.session.post(
                f'{url}/v1/chat/completions',
                json=model_body(1, stream=False),
            )
        else:
            request = self.session.get(f'{url}/timber/stock/larch')
        async with request as response:
            status, text = response.status, await response.read()
        if status != STATUS_OK:
            raise UnexpectedResponseError(
                f'status {status}: {text.decode()}',
            )


def model_body(events: int, *, stream: bool) -> dict[str, object]:
    """Return the body of a model request with a prompt of usual length.

    Args:
        events: Tokens to generate, each of which is one event of a stream.
        stream: Whether to ask for a stream.
    """
    prompt = 'How heavy may a striker be on a board of 74 cm? ' * 20
    return {
        'model': MODEL_SERVICE,
        'stream': stream,
        'max_tokens': events,
        'messages': [{'role': 'user', 'content': prompt}],
    }
