"""Replays recorded arrivals against a fleet."""

import asyncio
from collections.abc import Iterable
from typing import Final

import aiohttp

from pollenloom.core.ids import VmId
from pollenloom.kernel.clock import Clock
from pollenloom_standins.experiment.arrival import Arrival, ArrivalKind
from pollenloom_standins.experiment.measured_call import (
    MeasuredCall,
    MeasuredCallOutcome,
)
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.process_fleet import ProcessFleet

CALL_TIMEOUT_SECONDS: Final = 60
TOKEN_MARKER: Final = b'"content"'
PROMPT_TEXT: Final = 'carrom board pocket striker '
END_MARKER: Final = b'data: [DONE]'


class OpenLoopLoadGenerator:
    """Sends requests at their recorded times, independent of earlier ones.

    Each request has a task of its own, like a request of a separate caller.

    Attributes:
        fleet: Fleet under load.
        workload: Services to call.
        records: The calls as their callers observed them.
        started: Wall time of the start of the load, in seconds.
        started_monotonic: Monotonic time of that start, in seconds.
        avoided_routers: Routers that receive no requests, because the
            platform's load balancer would not choose them.
        routers: VMs of the routers, by their index in arrivals.
    """

    def __init__(self, fleet: ProcessFleet, workload: Workload) -> None:
        self.fleet = fleet
        self.workload = workload
        self.clock = Clock()
        self.records: list[MeasuredCall] = []
        self.started: float = 0
        self.started_monotonic: float = 0
        self.avoided_routers: set[VmId] = set()
        self.routers = tuple(plan.vm for plan in fleet.plan.routers)

    def now(self) -> float:
        """Return the seconds since the start of the load."""
        return self.clock.monotonic() - self.started_monotonic

    async def replay(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Send all arrivals; cancel calls that are unfinished at `until`."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        self.started = self.clock.wall()
        self.started_monotonic = self.clock.monotonic()
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
        ) as session:
            calls: list[asyncio.Task[None]] = []
            for arrival in arrivals:
                await asyncio.sleep(max(arrival.at - self.now(), 0))
                calls.append(
                    asyncio.create_task(self.call(session, arrival)),
                )
            await asyncio.sleep(max(until - self.now(), 0))
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def call(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
    ) -> None:
        """Send one request and record its outcome."""
        record = MeasuredCall(arrival=arrival, sent=self.now())
        self.records.append(record)
        try:
            if arrival.kind is ArrivalKind.MODEL:
                await self.call_model(session, record)
            else:
                await self.call_application(session, record)
        except (aiohttp.ClientError, TimeoutError) as error:
            record.outcome = MeasuredCallOutcome.FAILED
            record.detail = type(error).__name__
        finally:
            record.ended = self.now()

    async def call_model(
        self,
        session: aiohttp.ClientSession,
        record: MeasuredCall,
    ) -> None:
        """Read a model's stream; without its end marker, the call failed."""
        async with session.post(
            f'{self.router_url(record.arrival)}/v1/chat/completions',
            json=chat_request_body(self.workload, record.arrival),
            headers=request_headers(record.arrival),
        ) as response:
            if not response.ok:
                record_problem(record, response.status, await response.text())
                return
            record.outcome = MeasuredCallOutcome.UNFINISHED
            is_complete = False
            async for line in response.content:
                if TOKEN_MARKER in line:
                    record.token_times.append(self.now())
                is_complete = is_complete or line.startswith(END_MARKER)
            record.outcome = (
                MeasuredCallOutcome.SERVED
                if is_complete
                else MeasuredCallOutcome.FAILED
            )

    async def call_application(
        self,
        session: aiohttp.ClientSession,
        record: MeasuredCall,
    ) -> None:
        """Send an idempotent call to the application."""
        workload = self.workload
        url = self.router_url(record.arrival)
        is_search = record.arrival.kind is ArrivalKind.SEARCH
        path = workload.search_path if is_search else workload.read_path
        async with session.request(
            'POST' if is_search else 'GET',
            f'{url}/{workload.application}/{path}',
            headers=request_headers(record.arrival),
        ) as response:
            text = await response.text()
            if not response.ok:
                record_problem(record, response.status, text)
                return
            record.token_times.append(self.now())
            record.outcome = MeasuredCallOutcome.SERVED

    def router_url(self, arrival: Arrival) -> str:
        """Return the base URL for callers of the router of an arrival."""
        return self.fleet.callers_url(self.available_router(arrival.router))

    def available_router(self, index: int) -> VmId:
        """Return the router of an index, or the next one that is available.

        If none is available, returns the router of the index.
        """
        order = self.routers[index:] + self.routers[:index]
        for vm in order:
            if (
                vm not in self.avoided_routers
                and self.fleet.routers[vm].is_running
            ):
                return vm
        return order[0]


def request_headers(arrival: Arrival) -> dict[str, str]:
    """Return the headers with API key and timeout of a request."""
    return {
        'Authorization': f'Bearer demo-key-{arrival.account}',
        'X-Timeout-Seconds': str(CALL_TIMEOUT_SECONDS),
    }


def chat_request_body(
    workload: Workload, arrival: Arrival
) -> dict[str, object]:
    """Return the body of a model request.

    Prompts of a conversation start alike, so that their prefix is cacheable.
    """
    prefix = f'{arrival.conversation} '
    repeats = arrival.prompt_characters // len(PROMPT_TEXT) + 1
    prompt = (prefix + PROMPT_TEXT * repeats)[: arrival.prompt_characters]
    content = f'{prompt} [tokens={arrival.answer_tokens}]'
    return {
        'model': workload.model,
        'stream': True,
        'max_tokens': arrival.hint_tokens,
        'messages': [{'role': 'user', 'content': content}],
    }


def record_problem(record: MeasuredCall, status: int, text: str) -> None:
    """Record an error response; one with `"run":"no"` is a refusal."""
    compact = text.replace(' ', '')
    is_refused = '"run":"no"' in compact
    record.outcome = (
        MeasuredCallOutcome.REFUSED
        if is_refused
        else MeasuredCallOutcome.FAILED
    )
    record.detail = f'{status} {text[:160]}'
