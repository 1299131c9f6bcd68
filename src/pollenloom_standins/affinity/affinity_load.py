"""Load of callers whose prompts share prefixes."""

import asyncio
import random
from typing import Final

import aiohttp

from pollenloom_standins.capacity.service_files import api_key

CHUNK_BYTES: Final = 256
SHARED_CHUNKS: Final = 10
# Lengths of the text after the shared prefix, in chunks.
UNIQUE_CHUNKS: Final = (1, 2, 4, 6)
PREFIX_COUNT: Final = 60
OUTPUT_TOKENS: Final = 16
STATUS_OK: Final = 200


class AffinityLoad:
    """Sends the same requests at the same times in each run.

    Attributes:
        urls: Base URLs of the routers.
        accounts: Number of client accounts that send requests in turn.
        random_source: Generator with a fixed seed, so that runs are comparable.
        first_token_seconds: Times to the first token of the requests after
            the warm-up that got a complete response.
        failures: Requests without a complete response.
        sent: Requests sent so far.
    """

    def __init__(self, urls: tuple[str, ...], accounts: int) -> None:
        self.urls = urls
        self.accounts = accounts
        self.random_source = random.Random(5)
        self.first_token_seconds: list[float] = []
        self.failures = 0
        self.sent = 0

    async def run(self, rate: float, seconds: float, warm_up: float) -> None:
        """Send requests at random times with exponential gaps.

        Args:
            rate: Mean requests per second.
            seconds: Duration of the load.
            warm_up: Seconds from the start in which the first token times of
                requests are not counted.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        due: float = 0
        async with (
            aiohttp.ClientSession() as session,
            asyncio.TaskGroup() as group,
        ):
            while due < seconds:
                await asyncio.sleep(max(0, start + due - loop.time()))
                call = self.call(
                    session, self.prompt(), is_counted=due >= warm_up
                )
                group.create_task(call)
                due += self.random_source.expovariate(rate)

    def prompt(self) -> str:
        """Return the next prompt: a shared prefix and a unique text."""
        self.sent += 1
        prefix = f'prefix {self.random_source.randrange(PREFIX_COUNT)} '
        shared = prefix * (SHARED_CHUNKS * CHUNK_BYTES)
        shared = shared[: SHARED_CHUNKS * CHUNK_BYTES]
        unique = f'request {self.sent} ' * CHUNK_BYTES
        length = self.random_source.choice(UNIQUE_CHUNKS) * CHUNK_BYTES
        return f'{shared}{unique[:length]}[tokens={OUTPUT_TOKENS}]'

    async def call(
        self,
        session: aiohttp.ClientSession,
        prompt: str,
        *,
        is_counted: bool,
    ) -> None:
        """Read a streamed response and record the time to its first event."""
        number = self.sent
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        key = api_key(number % self.accounts)
        async with session.post(
            f'{self.urls[number % len(self.urls)]}/v1/completions',
            json={'model': 'answers', 'prompt': prompt, 'stream': True},
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            await response.content.readline()
            first_event_seconds = loop.time() - started_at
            rest = await response.read()
            is_complete = response.status == STATUS_OK and b'[DONE]' in rest
        if not is_complete:
            self.failures += 1
        elif is_counted:
            self.first_token_seconds.append(first_event_seconds)
