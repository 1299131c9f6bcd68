"""Load on one router, as callers make it."""

import asyncio
from collections.abc import AsyncGenerator, Iterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from pollenloom_standins.capacity.hot_fleet import MODEL
from pollenloom_standins.capacity.service_files import api_key

STATUS_OK: Final = 200
LAST_EVENT: Final = b'data: [DONE]\n\n'
# The usage record and the end of the stream.
CLOSING_EVENTS: Final = 2
CALL_SECONDS: Final = 120


class WrongResponseError(Exception):
    """A router's answer is not the one that the stand-in gave."""


class HotLoad:
    """Calls a router and checks each answer."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    @classmethod
    @asynccontextmanager
    async def opened(cls, account: int) -> AsyncGenerator['HotLoad', None]:
        """Open the connections of a caller with the key of an account."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            headers={'Authorization': f'Bearer {api_key(account)}'},
        ) as session:
            yield cls(session)

    async def stream_many(self, url: str, streams: int, events: int) -> None:
        """Read a number of streams at the same time."""
        await asyncio.gather(
            *(self.stream(url, events) for _ in range(streams)),
        )

    async def stream(self, url: str, events: int) -> None:
        """Read one stream to its end.

        Raises:
            WrongResponseError: If it is not whole.
        """
        async with self.session.post(
            f'{url}/v1/chat/completions',
            json=model_body(events, stream=True),
        ) as answer:
            status, text = answer.status, await answer.read()
        count = text.count(b'data: ')
        is_whole = text.endswith(LAST_EVENT) and status == STATUS_OK
        if not is_whole or count != events + CLOSING_EVENTS:
            raise WrongResponseError(
                f'{status}, {count} events: {text[-300:].decode()}',
            )

    async def call_many(
        self,
        url: str,
        calls: int,
        concurrency: int,
        *,
        model: bool,
    ) -> None:
        """Make calls, some at the same time, for whole answers."""
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
        """Make calls one after another while any remain."""
        for _ in remaining:
            await self.call(url, model=model)

    async def call(self, url: str, *, model: bool) -> None:
        """Make one call for a whole answer.

        Raises:
            WrongResponseError: If it fails.
        """
        if model:
            sent = self.session.post(
                f'{url}/v1/chat/completions',
                json=model_body(1, stream=False),
            )
        else:
            sent = self.session.get(f'{url}/timber/stock/larch')
        async with sent as answer:
            status, text = answer.status, await answer.read()
        if status != STATUS_OK:
            raise WrongResponseError(f'{status}: {text.decode()}')


def model_body(events: int, *, stream: bool) -> dict[str, object]:
    """Return the body of a model request of a usual length."""
    prompt = 'How heavy may a striker be on a board of 74 cm? ' * 20
    return {
        'model': MODEL,
        'stream': stream,
        'max_tokens': events,
        'messages': [{'role': 'user', 'content': prompt}],
    }
