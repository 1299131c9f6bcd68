"""HTTP service of the engine stand-in."""

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
from aiohttp import web

from pollenloom_standins.backend.backend_service import BackendService
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.engine.cache_events import CacheEventLog
from pollenloom_standins.engine.completion import Completion
from pollenloom_standins.engine.completion_request import CompletionRequest
from pollenloom_standins.engine.prefix_cache import PrefixCache
from pollenloom_standins.engine.response_format import ChatFormat, TextFormat
from pollenloom_standins.serving.json_answers import (
    json_answer,
    read_header_number,
    read_query_number,
)

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.call import Call
    from pollenloom_standins.engine.engine_settings import EngineSettings

CHAT_PATH: Final = '/v1/chat/completions'
TEXT_PATH: Final = '/v1/completions'
# Answers that are not streams need no wake-up for each token.
TOKENS_PER_STEP: Final = 8


class EngineService(BackendService):
    """Generates tokens at the pace of a model engine."""

    def __init__(
        self,
        clock: 'Clock',
        settings: 'BackendSettings',
        engine: 'EngineSettings',
    ) -> None:
        super().__init__(clock, settings)
        self.engine = engine
        self.cache = PrefixCache(engine.cache_blocks)
        self.cache_events = CacheEventLog(
            engine.cache_event_lag_seconds,
            engine.cache_event_loss,
            settings.seed,
        )
        self.previous: Completion | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of a model engine."""
        return [
            web.post(CHAT_PATH, self.handle),
            web.post(TEXT_PATH, self.handle),
            web.get('/cache-events', self.report_cache_events),
        ]

    async def answer(self, call: 'Call') -> web.StreamResponse:
        """Generate the tokens of a completion."""
        try:
            request = msgspec.json.decode(call.body, type=CompletionRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return json_answer(
                {'error': {'message': str(error)}},
                HTTPStatus.BAD_REQUEST,
            )
        completion = self.choose_completion(call, self.complete(call, request))
        await self.prefill(call, completion)
        if completion.request.stream:
            return await self.stream(call, completion)
        return await self.answer_whole(call, completion)

    def complete(self, call: 'Call', request: CompletionRequest) -> Completion:
        """Return the right answer to a request."""
        chat = call.request.path == CHAT_PATH
        return Completion(
            request=request,
            request_id=call.request_id,
            form=ChatFormat() if chat else TextFormat(),
            created=int(self.clock.wall()),
            version=self.settings.version,
        )

    def choose_completion(self, call: 'Call', own: Completion) -> Completion:
        """Return the answer to send: its own, or the one before if crossed."""
        previous = self.previous
        self.previous = own
        if not call.plan.crossed:
            return own
        source = previous or own
        other = Completion(
            request=msgspec.structs.replace(
                source.request,
                stream=own.request.stream,
            ),
            request_id=previous.request_id if previous else 'crossed',
            form=own.form,
            created=source.created,
            version=source.version,
        )
        call.crossed_id = other.request_id
        return other

    async def prefill(self, call: 'Call', completion: Completion) -> None:
        """Process the prompt; cached prefixes take no time."""
        hashes = read_prefix_hashes(call.request)
        cached = self.cache.cached_share(hashes)
        prompt_tokens = completion.tokens.prompt_tokens
        uncached = prompt_tokens * (1 - cached)
        call.record.cached = cached
        call.record.prompt_tokens = prompt_tokens
        call.record.uncached_tokens = uncached
        await self.spend(call, uncached * self.engine.prefill_token_seconds)
        change = self.cache.store(hashes)
        self.cache_events.add(change, self.clock.monotonic())

    async def answer_whole(
        self,
        call: 'Call',
        completion: Completion,
    ) -> web.StreamResponse:
        """Generate all tokens, then answer with JSON."""
        for done in range(0, completion.length, TOKENS_PER_STEP):
            step = min(TOKENS_PER_STEP, completion.length - done)
            await self.spend(call, step * self.engine.token_seconds)
            call.record.tokens += step
        await self.wait_late(call)
        return await self.send_whole(call, completion.body())

    async def stream(
        self,
        call: 'Call',
        completion: Completion,
    ) -> web.StreamResponse:
        """Send tokens as they are generated."""
        resumed_from = read_header_number(call.request, 'X-Resume-From')
        await self.wait_late(call)
        response = web.StreamResponse(headers=call.answer_headers)
        response.content_type = 'text/event-stream'
        await response.prepare(call.request)
        for index in range(resumed_from, completion.length):
            if await self.breaks(call, index - resumed_from):
                return response
            await self.spend(call, self.engine.token_seconds)
            call.record.tokens += 1
            await response.write(completion.token_event(index))
        if await self.breaks(call, call.plan.events_before):
            return response
        closing = tuple(completion.closing_events())
        for event in closing[max(resumed_from - completion.length, 0) :]:
            await response.write(event)
        await response.write_eof()
        return response

    async def breaks(self, call: 'Call', sent: int) -> bool:
        """Whether a stream ends here by a fault; a lost one never returns."""
        if sent < call.plan.events_before:
            return False
        if call.plan.dies:
            await self.die(call)
        if call.plan.cut:
            call.record.outcome = RunOutcome.CUT
        return call.plan.cut

    async def report_cache_events(self, request: web.Request) -> web.Response:
        """Return cache events, late."""
        await self.switches.thawed.wait()
        start = read_query_number(request, 'from', 0)
        page = self.cache_events.page(start, self.clock.monotonic())
        return json_answer(page)


def read_prefix_hashes(request: web.Request) -> tuple[int, ...]:
    """Return the prompt's prefix hashes, shortest prefix first.

    Raises:
        web.HTTPBadRequest: If the header holds something else.
    """
    text = request.headers.get('X-Prefix-Hashes', '')
    parts = [part.strip() for part in text.split(',') if part.strip()]
    if not all(part.isdecimal() for part in parts):
        raise web.HTTPBadRequest(text='X-Prefix-Hashes: not numbers\n')
    return tuple(int(part) for part in parts)
