"""Sends recorded arrivals to a fleet."""

import asyncio
from collections.abc import Iterable
from typing import Final

import aiohttp

from pollenloom.core.ids import VmId
from pollenloom.kernel.clock import Clock
from pollenloom_standins.experiment.arrival import Arrival, ArrivalKind
from pollenloom_standins.experiment.arrival_record import ArrivalRecord, CallEnd
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.process_fleet import ProcessFleet

LONGEST_CALL_SECONDS: Final = 60
TOKEN_MARK: Final = b'"content"'
TEXT_UNIT: Final = 'carrom board pocket striker '
END_MARK: Final = b'data: [DONE]'


class OpenLoopLoadGenerator:
    """One task a request, as independent callers would send them.

    Attributes:
        records: What the callers saw.
        started: Wall time of the start of the load.
        avoided: Routers that the platform's balancer would not choose.
    """

    def __init__(self, fleet: ProcessFleet, workload: Workload) -> None:
        self.fleet = fleet
        self.workload = workload
        self.clock = Clock()
        self.records: list[ArrivalRecord] = []
        self.started: float = 0
        self.zero: float = 0
        self.avoided: set[VmId] = set()
        self.routers = tuple(plan.vm for plan in fleet.plan.routers)

    def now(self) -> float:
        """Seconds since the start of the load."""
        return self.clock.monotonic() - self.zero

    async def replay(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Send all arrivals; stop what is unfinished at a time."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=LONGEST_CALL_SECONDS)
        self.started = self.clock.wall()
        self.zero = self.clock.monotonic()
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
        """Send one request and record its answer."""
        record = ArrivalRecord(arrival=arrival, sent=self.now())
        self.records.append(record)
        try:
            if arrival.kind is ArrivalKind.MODEL:
                await self.generate(session, record)
            else:
                await self.read(session, record)
        except (aiohttp.ClientError, TimeoutError) as error:
            record.end = CallEnd.FAILED
            record.detail = type(error).__name__
        finally:
            record.ended = self.now()

    async def generate(
        self,
        session: aiohttp.ClientSession,
        record: ArrivalRecord,
    ) -> None:
        """Stream a model answer."""
        async with session.post(
            f'{self.router_url(record.arrival)}/v1/chat/completions',
            json=model_body(self.workload, record.arrival),
            headers=headers_of(record.arrival),
        ) as answer:
            if not answer.ok:
                note_problem(record, answer.status, await answer.text())
                return
            record.end = CallEnd.UNFINISHED
            is_whole = False
            async for line in answer.content:
                if TOKEN_MARK in line:
                    record.tokens.append(self.now())
                is_whole = is_whole or line.startswith(END_MARK)
            record.end = CallEnd.SERVED if is_whole else CallEnd.FAILED

    async def read(
        self,
        session: aiohttp.ClientSession,
        record: ArrivalRecord,
    ) -> None:
        """Make an idempotent call of the application."""
        workload = self.workload
        url = self.router_url(record.arrival)
        is_search = record.arrival.kind is ArrivalKind.SEARCH
        path = workload.search_path if is_search else workload.read_path
        async with session.request(
            'POST' if is_search else 'GET',
            f'{url}/{workload.application}/{path}',
            headers=headers_of(record.arrival),
        ) as answer:
            text = await answer.text()
            if not answer.ok:
                note_problem(record, answer.status, text)
                return
            record.tokens.append(self.now())
            record.end = CallEnd.SERVED

    def router_url(self, arrival: Arrival) -> str:
        """Return the callers' address of a router that may be chosen."""
        return self.fleet.callers(self.running_router(arrival.router))

    def running_router(self, index: int) -> VmId:
        """Return the router of an index or the next one that runs."""
        order = self.routers[index:] + self.routers[:index]
        for vm in order:
            if vm not in self.avoided and self.fleet.routers[vm].is_running:
                return vm
        return order[0]


def headers_of(arrival: Arrival) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        'Authorization': f'Bearer demo-key-{arrival.account}',
        'X-Timeout-Seconds': str(LONGEST_CALL_SECONDS),
    }


def model_body(workload: Workload, arrival: Arrival) -> dict[str, object]:
    """Return the body of a model request.

    The start of the prompt depends on the conversation only.
    """
    start = f'{arrival.conversation} '
    repeats = arrival.prompt_characters // len(TEXT_UNIT) + 1
    prompt = (start + TEXT_UNIT * repeats)[: arrival.prompt_characters]
    content = f'{prompt} [tokens={arrival.answer_tokens}]'
    return {
        'model': workload.model,
        'stream': True,
        'max_tokens': arrival.hint_tokens,
        'messages': [{'role': 'user', 'content': content}],
    }


def note_problem(record: ArrivalRecord, status: int, text: str) -> None:
    """Record an error answer; one that says "not run" is a refusal."""
    compact = text.replace(' ', '')
    is_refused = '"run":"no"' in compact
    record.end = CallEnd.REFUSED if is_refused else CallEnd.FAILED
    record.detail = f'{status} {text[:160]}'
