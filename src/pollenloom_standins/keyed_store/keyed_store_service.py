"""HTTP service of the keyed store stand-in."""

import asyncio
import base64
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from http import HTTPStatus
from typing import ClassVar, Final

from aiohttp import web

from pollenloom.core.ids import Offset
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.platform import record_frames
from pollenloom_standins.keyed_store.keyed_topic import KeyedTopic
from pollenloom_standins.serving.json_responses import (
    json_response,
    read_query_number,
)
from pollenloom_standins.serving.route_source import RouteSource

# Size of the length field before a record.
LENGTH_BYTES: Final = 4
ERA_HEADER: Final = 'Store-Era'
FIRST_ERA: Final = 1

Handler = Callable[[web.Request], Awaitable[web.Response]]
StoreCopy = Mapping[str, KeyedTopic]


class KeyedStoreService(RouteSource):
    """Serves topics of keyed records; tests write to them directly.

    Attributes:
        topics: Topics by name.
        is_down: Whether calls are rejected with 503.
        era: Number of the copy that is served; told in all responses.
        calls: Number of calls, including rejected ones, by path.
        last_read: Offset at which the latest read started, by topic; 0
            before the first read.
        changed: Notified after each write.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_PLATFORM

    def __init__(self) -> None:
        self.topics: dict[str, KeyedTopic] = defaultdict(KeyedTopic)
        self.is_down = False
        self.era = FIRST_ERA
        self.calls: dict[str, int] = defaultdict(int)
        self.last_read: dict[str, int] = defaultdict(int)
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the store's calls."""
        return [
            web.post('/log-append', partial(self.respond, self.append)),
            web.get('/log-read', partial(self.respond, self.read)),
            web.get('/log-newest', partial(self.respond, self.newest)),
        ]

    async def respond(
        self, handler: Handler, request: web.Request
    ) -> web.Response:
        """Handle a call; tell the era in its response.

        Raises:
            web.HTTPException: If the handler rejects the call.
        """
        try:
            response = await handler(request)
        except web.HTTPException as error:
            error.headers[ERA_HEADER] = str(self.era)
            raise
        response.headers[ERA_HEADER] = str(self.era)
        return response

    def copy(self) -> StoreCopy:
        """Return a copy of all topics, to restore it later."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    async def restore(self, copy: StoreCopy) -> None:
        """Serve a copy; what was written since then is lost."""
        self.topics = defaultdict(
            KeyedTopic, {name: topic.copy() for name, topic in copy.items()}
        )
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def write(self, topic: str, key: str, payload: bytes) -> int:
        """Append a record, wake waiting reads and return the offset."""
        offset = self.topics[topic].append(key, payload)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def append(self, request: web.Request) -> web.Response:
        """Append the record in the body.

        With `at` in the query, only if the topic ends at that offset.
        """
        self.count_call(request)
        body = await request.read()
        record = record_frames.read_record(body[LENGTH_BYTES:], Offset(0))
        topic = request.query['topic']
        end = self.topics[topic].end
        if read_query_number(request, 'at', end) != end:
            status = HTTPStatus.PRECONDITION_FAILED
            return json_response({'end': end}, status)
        offset = await self.write(topic, record.key, record.payload)
        return json_response({'offset': offset, 'end': offset + 1})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset on.

        It waits for the first one, for at most `wait_ms`. Status 410 says that
        records from this offset on were removed, or that it is beyond the end.
        """
        self.count_call(request)
        name = request.query['topic']
        start = read_query_number(request, 'from', 0)
        self.last_read[name] = start
        wait_seconds = (
            read_query_number(request, 'wait_ms', 0) / MILLISECONDS_PER_SECOND
        )
        async with self.changed:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.changed.wait_for(
                        lambda: (
                            self.topics[name].end != start
                            or self.topics[name].first > start
                        ),
                    )
            except TimeoutError:
                """The response then has no records."""
        self.raise_if_down()
        topic = self.topics[name]
        records = topic.read(start)
        if records is None:
            return json_response({'first': topic.first}, HTTPStatus.GONE)
        parts = [record_frames.PAGE_HEAD.pack(topic.end, topic.first)]
        parts.extend(
            record_frames.encode_record(record.key, record.payload)
            for record in records
        )
        return web.Response(body=b''.join(parts))

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key."""
        self.count_call(request)
        topic = self.topics[request.query['topic']]
        return json_response(
            {
                'items': [
                    {
                        'key': record.key,
                        'value': base64.b64encode(record.payload).decode(),
                        'offset': record.offset,
                    }
                    for record in topic.newest.values()
                ],
                'truncated': False,
                'end': topic.end,
            }
        )

    def count_call(self, request: web.Request) -> None:
        """Count a call, then reject it if the store is down.

        Raises:
            web.HTTPServiceUnavailable: If the store is down.
        """
        self.calls[request.path] += 1
        self.raise_if_down()

    def raise_if_down(self) -> None:
        """Reject a call while the store is down.

        Raises:
            web.HTTPServiceUnavailable: If the store is down.
        """
        if self.is_down:
            raise web.HTTPServiceUnavailable
