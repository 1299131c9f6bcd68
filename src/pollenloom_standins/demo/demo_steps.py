"""Steps of the demonstration; each checks the responses that it gets."""

import asyncio
from typing import Any, Final

import aiohttp
import msgspec
import uuid_utils

from pollenloom.core.ids import VmId
from pollenloom_standins.demo.demo_plan import (
    APPLICATION,
    DATA_CENTRES,
    MODEL,
)
from pollenloom_standins.engine.completion_request import CompletionRequest
from pollenloom_standins.engine.token_generator import TokenGenerator
from pollenloom_standins.fleet.process_fleet import ProcessFleet

API_KEY: Final = 'demo-key-webshop'
DRAIN_WAIT_SECONDS: Final = 3.0
RESTORE_TIMEOUT_SECONDS: Final = 20.0
CALLS_PER_ROUND: Final = 12
TOKEN_COUNT: Final = 24
STATUS_OK: Final = 200
STATUS_CREATED: Final = 201
STATUS_UNAUTHORIZED: Final = 401
EVENT_PREFIX: Final = 'data: '


class CheckFailedError(Exception):
    """A response was not the expected one."""


def check(is_true: bool, message: str) -> None:
    """Check a condition.

    Raises:
        CheckFailedError: With the message, if the condition is false.
    """
    if not is_true:
        raise CheckFailedError(message)


class DemoSteps:
    """Calls a fleet as its callers and operators do.

    Each step returns a line on what it checked.
    """

    def __init__(
        self, fleet: ProcessFleet, session: aiohttp.ClientSession
    ) -> None:
        self.fleet = fleet
        self.session = session
        self.headers = {'Authorization': f'Bearer {API_KEY}'}
        self.vms = tuple(plan.vm for plan in fleet.plan.routers)

    async def stream_model_response(self) -> str:
        """Get a streamed model response and compare each token."""
        body = {
            'model': MODEL,
            'stream': True,
            'messages': [
                {
                    'role': 'user',
                    'content': f'Which striker weight? [tokens={TOKEN_COUNT}]',
                },
            ],
        }
        url = f'{self.fleet.callers_url(self.vms[0])}/v1/chat/completions'
        async with self.session.post(
            url,
            json=body,
            headers=self.headers,
        ) as response:
            text = await response.text()
            check(response.status == STATUS_OK, f'stream: {text}')
        events = [
            line.removeprefix(EVENT_PREFIX)
            for line in text.splitlines()
            if line.startswith(EVENT_PREFIX)
        ]
        check(events[-1] == '[DONE]', 'the stream does not end with [DONE]')
        content = ''.join(delta_content(event) for event in events[:-1])
        parsed = msgspec.convert(body, CompletionRequest)
        expected = TokenGenerator(parsed.prompt_text).text()
        check(content == expected, f'got {content!r}, expected {expected!r}')
        return f'{len(events) - 1} events, complete response'

    async def read_stock(self) -> str:
        """Make an idempotent read."""
        url = (
            f'{self.fleet.callers_url(self.vms[1])}/{APPLICATION}/stock/walnut'
        )
        async with self.session.get(url, headers=self.headers) as response:
            text = await response.text()
            check(response.status == STATUS_OK, f'stock read: {text}')
            check('/stock/walnut' in text, f'unexpected response: {text}')
        return text

    async def order_timber_twice(self) -> str:
        """Send one order with one key through two routers."""
        key = str(uuid_utils.uuid7())
        first = await self.order(self.vms[0], key)
        second = await self.order(self.vms[1], key)
        check(first == second, f'responses differ: {first} and {second}')
        runs = await self.count_runs(key)
        check(runs == 1, f'the order ran {runs} times')
        return f'ran once, both callers got {first}'

    async def order(self, vm: VmId, key: str) -> str:
        """Send an order and return the response."""
        url = f'{self.fleet.callers_url(vm)}/{APPLICATION}/orders'
        async with self.session.post(
            url,
            json={'wood': 'walnut', 'planks': 4},
            headers={**self.headers, 'Idempotency-Key': key},
        ) as response:
            text = await response.text()
            is_accepted = response.status in {STATUS_OK, STATUS_CREATED}
            check(is_accepted, f'order: {response.status} {text}')
        return text

    async def count_runs(self, key: str) -> int:
        """Count the runs of an order that the applications recorded."""
        runs = 0
        for plan in self.fleet.plan.backends:
            if plan.service != APPLICATION:
                continue
            url = f'{self.fleet.control_url(plan.vm)}/control/orders'
            async with self.session.get(url) as response:
                orders = (await response.json())['orders']
            runs += sum(order['key'] == key for order in orders)
        return runs

    async def call_with_unknown_key(self) -> str:
        """Check that an unknown API key is rejected."""
        url = f'{self.fleet.callers_url(self.vms[2])}/v1/models'
        headers = {'Authorization': 'Bearer nobody'}
        async with self.session.get(url, headers=headers) as response:
            problem = await response.json(content_type=None)
            check(
                response.status == STATUS_UNAUTHORIZED,
                f'unknown key: {response.status}',
            )
        check(problem['run'] == 'no', f'run: {problem["run"]}')
        return f'{problem["status"]} {problem["kind"]}, run: no'

    async def drain_data_centre(self) -> str:
        """Drain a data centre and check that it gets no new requests."""
        data_centre = DATA_CENTRES[-1]
        await self.operate('drain', data_centre)
        await asyncio.sleep(DRAIN_WAIT_SECONDS)
        before = await self.runs_in(data_centre)
        await self.call_all_routers()
        after = await self.runs_in(data_centre)
        check(after == before, f'{after - before} calls reached {data_centre}')
        return f'{CALLS_PER_ROUND} calls, none reached {data_centre}'

    async def restore_data_centre(self) -> str:
        """Restore the data centre and check that it gets requests again."""
        data_centre = DATA_CENTRES[-1]
        await self.operate('restore', data_centre)
        before = await self.runs_in(data_centre)
        try:
            async with asyncio.timeout(RESTORE_TIMEOUT_SECONDS):
                while await self.runs_in(data_centre) == before:
                    await self.call_all_routers()
        except TimeoutError:
            raise CheckFailedError(
                f'{data_centre} gets no requests after its restore'
            ) from None
        return f'{data_centre} serves again'

    async def operate(self, command: str, data_centre: str) -> None:
        """Change the state of a data centre as an operator does."""
        await self.fleet.operator.operate(
            self.fleet.operator_addresses(),
            command,
            data_centre,
        )

    async def runs_in(self, data_centre: str) -> int:
        """Count the runs of the backend servers of a data centre."""
        runs = 0
        for plan in self.fleet.plan.backends:
            if plan.data_centre != data_centre:
                continue
            url = f'{self.fleet.control_url(plan.vm)}/control/history'
            async with self.session.get(url) as response:
                runs += len((await response.json())['runs'])
        return runs

    async def call_all_routers(self) -> None:
        """Send `CALLS_PER_ROUND` reads, spread over all routers."""
        urls = [
            f'{self.fleet.callers_url(vm)}/{APPLICATION}/stock/maple'
            for vm in self.vms
        ]
        rounds = CALLS_PER_ROUND // len(urls)
        responses = await asyncio.gather(
            *(
                self.session.get(url, headers=self.headers)
                for url in urls * rounds
            ),
        )
        for response in responses:
            text = await response.text()
            check(response.status == STATUS_OK, f'read: {text}')


def delta_content(event: str) -> str:
    """Return the text of one streamed event of a chat completion."""
    parsed: dict[str, Any] = msgspec.json.decode(event)
    delta: dict[str, str] = parsed['choices'][0].get('delta', {})
    return delta.get('content') or ''
