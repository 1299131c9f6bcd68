"""Relay of requests and responses between callers and backend servers."""

import asyncio
import time
from typing import Any

import pytest

from pollenloom_standins.worker.responses import chunk
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import (
    KEY,
    RouterEnvironment,
    complete_response,
    event,
    make_configuration,
    make_route,
    stream_head,
)


async def respond_ok(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a complete response."""
    writer.write(complete_response(request))
    await writer.drain()


async def fail(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a server error for a request that ran."""
    body = complete_response(request, b'no').replace(b'200 OK', b'500 Error')
    writer.write(body)
    await writer.drain()


async def reject(
    _: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Reject the request and state that it did not run."""
    writer.write(
        b'HTTP/1.1 503 Full\r\nX-Pollenloom-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n',
    )
    await writer.drain()


async def reset(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without a response."""
    await writer.drain()
    writer.transport.abort()


async def test_request_and_response_are_relayed_unchanged(
    environment: RouterEnvironment,
) -> None:
    """Guards against changes to method, path, query, body or response.

    The API key must not reach the backend server.
    """
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    response = await caller.fetch(
        '/order/a%2Fb?c=%20d',
        body=b'POST /order/ HTTP/1.1\r\n\r\n',
        x_other='kept',
    )
    assert (response.status, response.body) == (200, b'done')
    assert response.headers['x-pollenloom-response-seal'] == 'seal'
    request = server.requests[0]
    assert request.start_line == 'POST /order/a%2Fb?c=%20d HTTP/1.1'
    assert request.body == b'POST /order/ HTTP/1.1\r\n\r\n'
    assert request.headers['x-other'] == 'kept'
    assert request.headers['x-pollenloom-tenant'] == 'shop'
    assert request.headers['x-pollenloom-expect-instance'] == 'i-0'
    assert KEY not in request.headers.values()


async def test_connection_serves_many_requests(
    environment: RouterEnvironment,
) -> None:
    """Guards against responses that are relayed for another request."""
    await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    for number in range(20):
        response = await caller.fetch('/read/', request_id=f'a{number}')
        assert response.headers['x-pollenloom-attempt-id'] == f'a{number}'


async def test_unknown_key_and_route_are_rejected(
    environment: RouterEnvironment,
) -> None:
    """Guards against requests that the configuration does not allow."""
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    assert (await caller.fetch('/read/', api_key='other')).status == 401
    assert (await caller.fetch('/nowhere/')).status == 404
    assert not server.requests


async def test_order_is_not_retried_after_a_reset(
    environment: RouterEnvironment,
) -> None:
    """Guards against an order that runs twice or is reported as not run."""
    servers = [await environment.add_server(reset) for _ in range(2)]
    await environment.ready(2)
    response = await (await environment.connect()).fetch('/order/')
    assert response.status == 502
    assert sum(len(server.requests) for server in servers) == 1


async def test_rejected_order_is_sent_to_another_server(
    environment: RouterEnvironment,
) -> None:
    """Guards against rejecting a request that can safely be sent again."""
    rejecting_server = await environment.add_server(reject)
    await environment.ready(1)
    serving_server = await environment.add_server(respond_ok)
    await environment.ready(2)
    caller = await environment.connect()
    for number in range(6):
        response = await caller.fetch('/order/', request_id=f'a{number}')
        assert response.status == 200
    assert len(serving_server.requests) == 6
    assert rejecting_server.requests


async def test_order_rejected_by_all_servers_may_be_retried_later(
    environment: RouterEnvironment,
) -> None:
    """Guards against a 503 response without a Retry-After header."""
    await environment.add_server(reject)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/order/')
    assert response.status == 503
    assert float(response.headers['retry-after']) > 0


async def test_failed_read_is_retried(
    environment: RouterEnvironment,
) -> None:
    """Guards against relaying an error although another server works."""
    await environment.add_server(fail)
    await environment.ready(1)
    await environment.add_server(respond_ok)
    await environment.ready(2)
    caller = await environment.connect()
    for number in range(4):
        assert (
            await caller.fetch('/read/', request_id=f'a{number}')
        ).status == 200


async def test_retry_without_another_server_uses_the_budget_once(
    environment: RouterEnvironment,
) -> None:
    """Guards against a retry budget spent on requests that are not sent.

    After a failure on the only server there is no other one for the retry.
    """
    await environment.add_server(fail)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/read/')
    assert response.status == 502
    relay = environment.gateway.relay
    assert [
        budget.retries for budget in relay.call_factory.retry_budgets.values()
    ] == [1]


async def test_failure_of_an_order_is_relayed(
    environment: RouterEnvironment,
) -> None:
    """Guards against a server error that is replaced by another status."""
    await environment.add_server(fail)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/order/')
    assert (response.status, response.body) == (500, b'no')


async def test_success_without_a_seal_is_not_accepted(
    environment: RouterEnvironment,
) -> None:
    """Guards against responses that no backend server of the fleet sent."""

    async def respond_unsealed(
        _: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')
        await writer.drain()

    await environment.add_server(respond_unsealed)
    await environment.ready(1)
    assert (await (await environment.connect()).fetch('/order/')).status == 502


async def test_late_response_to_another_request_is_skipped(
    environment: RouterEnvironment,
) -> None:
    """Guards against the response to one request being relayed for another."""

    async def respond_to_two(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        other = complete_response(request, b'other').replace(b': a1', b': a0')
        writer.write(other + complete_response(request, b'own'))
        await writer.drain()

    await environment.add_server(respond_to_two)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/order/')
    assert (response.status, response.body) == (200, b'own')


async def test_extra_response_does_not_affect_later_requests(
    environment: RouterEnvironment,
) -> None:
    """Guards against bytes after a response that reach the next caller."""

    async def respond_twice(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(
            complete_response(request, b'one')
            + complete_response(request, b'two')
        )
        await writer.drain()

    await environment.add_server(respond_twice)
    await environment.ready(1)
    caller = await environment.connect()
    for number in range(5):
        response = await caller.fetch('/read/', request_id=f'a{number}')
        assert response.body == b'one'
        assert response.headers['x-pollenloom-attempt-id'] == f'a{number}'


async def test_truncated_response_does_not_look_complete(
    environment: RouterEnvironment,
) -> None:
    """Guards against a truncated body after the head of a complete one."""

    async def truncate(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(complete_response(request)[:-2])
        await writer.drain()
        writer.close()

    await environment.add_server(truncate)
    await environment.ready(1)
    assert (await (await environment.connect()).fetch('/order/')).status == 502


async def test_events_are_relayed_as_they_arrive(
    environment: RouterEnvironment,
) -> None:
    """Guards against events that are held back until the stream ends."""
    released = asyncio.Event()

    async def stream(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)))
        await released.wait()
        writer.write(chunk(event(2)) + b'0\r\n\r\n')

    await environment.add_server(stream)
    await environment.ready(1)
    caller = await environment.connect()
    await caller.send('/stream/')
    await caller.reader.readuntil(b'word-1\n\n')
    released.set()
    await caller.reader.readuntil(b'word-2\n\n')


async def test_interrupted_stream_does_not_look_complete(
    environment: RouterEnvironment,
) -> None:
    """Guards against a stream that is cut short but ends as complete."""

    async def interrupt_stream(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1) + b'id: 2\nda'))
        await writer.drain()
        writer.close()

    await environment.add_server(interrupt_stream)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/stream/')
    assert response.body == event(1)
    assert not response.is_complete


async def test_resumable_stream_continues_at_another_server(
    environment: RouterEnvironment,
) -> None:
    """Guards against missing, repeated or merged events."""

    async def stream(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        writer.write(stream_head(request))
        if first == 1:
            writer.write(chunk(event(1) + event(2) + b'id: 3\nda'))
            await writer.drain()
            writer.close()
            return
        for number in range(first, 6):
            writer.write(chunk(event(number)))
        writer.write(b'0\r\n\r\n')

    for _ in range(2):
        await environment.add_server(stream)
    await environment.ready(2)
    response = await (await environment.connect()).fetch('/resume/')
    assert response.is_complete
    assert response.body == b''.join(map(event, range(1, 6)))


async def test_disconnecting_caller_stops_the_server(
    environment: RouterEnvironment,
) -> None:
    """Guards against servers that work for disconnected callers."""

    async def never_respond(
        _request: ReceivedRequest,
        _writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.Event().wait()

    server = await environment.add_server(never_respond)
    await environment.ready(1)
    caller = await environment.connect()
    await caller.send('/order/')
    await environment.wait_for(lambda: bool(server.requests))
    caller.writer.close()
    await environment.wait_for(lambda: server.lost == 1)


async def test_request_of_a_disconnected_caller_is_not_sent(
    environment: RouterEnvironment,
) -> None:
    """Guards against work for callers who have disconnected.

    An overloaded VM read requests seconds after their callers had closed the
    connection, and sent them. Found in environment scale-1 of the grown fleets.
    """
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    # Leaves an idle connection to the server, which a request could reuse.
    await (await environment.connect()).fetch('/read/')
    server.requests.clear()
    caller = await environment.connect()
    await caller.send('/read/')
    caller.writer.close()
    # Blocks the loop, so that it reads the request and the close together.
    time.sleep(0.05)
    await asyncio.sleep(0.3)
    assert not server.requests


async def test_overloaded_router_closes_connections(
    environment: RouterEnvironment,
) -> None:
    """Guards against callers that stay connected to an overloaded VM."""
    await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    assert 'connection' not in (await caller.fetch('/read/')).headers
    environment.gateway.detector.is_overloaded = True
    assert not environment.gateway.is_ready
    response = await caller.fetch('/read/')
    assert (response.status, response.headers['connection']) == (200, 'close')


async def test_severely_overloaded_router_rejects_requests(
    environment: RouterEnvironment,
) -> None:
    """Guards against accepting requests that cannot be served in time."""
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    environment.gateway.detector.delay = 100
    response = await (await environment.connect()).fetch('/order/')
    assert response.status == 503
    assert float(response.headers['retry-after']) > 0
    assert not server.requests


async def test_route_timeout_returns_504(
    environment: RouterEnvironment,
) -> None:
    """Guards against callers that wait forever for an unresponsive server."""

    async def never_respond(
        _request: ReceivedRequest,
        _writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.Event().wait()

    configuration = make_configuration(2)
    configuration['routes'] = [
        make_route('non_idempotent', '/order/', timeout_ms=200),
    ]
    await environment.configure(configuration)
    await environment.add_server(never_respond)
    await environment.ready(1)
    catalogue = environment.gateway.catalogue
    await environment.wait_for(
        lambda: bool(
            catalogue.configuration and catalogue.configuration.revision == 2
        ),
    )
    response = await (await environment.connect()).fetch('/order/')
    assert response.status == 504


async def test_draining_server_gets_no_new_requests(
    environment: RouterEnvironment,
) -> None:
    """Guards against new work for a server that drains."""
    draining_server = await environment.add_server(respond_ok)
    ready_server = await environment.add_server(respond_ok)
    await environment.ready(2)
    await environment.register(draining_server, state='draining')
    directory = environment.gateway.catalogue.directory
    await environment.wait_for(
        lambda: any(
            known.entry.is_leaving for known in directory.servers.values()
        ),
    )
    draining_server.requests.clear()
    caller = await environment.connect()
    for number in range(10):
        await caller.fetch('/read/', request_id=f'a{number}')
    assert not draining_server.requests
    assert len(ready_server.requests) == 10


async def test_older_configuration_is_ignored(
    environment: RouterEnvironment,
) -> None:
    """Guards against an older record that makes a revoked key valid again."""
    await environment.add_server(respond_ok)
    newer = make_configuration(5)
    newer['tenants'] = [{'name': 'shop', 'api_keys': ['other']}]
    await environment.configure(newer)
    await environment.ready(1)
    catalogue = environment.gateway.catalogue
    await environment.wait_for(
        lambda: bool(
            catalogue.configuration and catalogue.configuration.revision == 5
        ),
    )
    await environment.configure(make_configuration(4))
    offset = environment.store.topics['keyed.op'].end
    await environment.wait_for(
        lambda: environment.store.last_read['keyed.op'] == offset
    )
    assert (await (await environment.connect()).fetch('/read/')).status == 401


@pytest.mark.parametrize(
    'tenants',
    [
        [{'name': 'shop', 'api_keys': []}],
        [{'name': 'shop', 'api_keys': ['']}],
        [],
    ],
)
async def test_no_request_runs_after_the_last_key_was_revoked(
    environment: RouterEnvironment, tenants: list[dict[str, Any]]
) -> None:
    """Guards against routes that are open once no account has a key."""
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    assert (await caller.fetch('/order/', request_id='before')).status == 200
    await environment.configure({**make_configuration(5), 'tenants': tenants})
    catalogue = environment.gateway.catalogue
    await environment.wait_for(
        lambda: bool(
            catalogue.configuration and catalogue.configuration.revision == 5
        ),
    )
    server.requests.clear()
    for number, key in enumerate((KEY, 'never-held', '')):
        for path in ('/read/', '/order/', '/stream/'):
            response = await caller.fetch(
                path, request_id=f'after-{number}', api_key=key
            )
            assert response.status == 401
    assert not server.requests


async def test_unreadable_records_are_ignored(
    environment: RouterEnvironment,
) -> None:
    """Guards against a malformed record that stops the router."""
    await environment.add_server(respond_ok)
    await environment.ready(1)
    await environment.store.write('keyed.servers', 'i-0', b'{torn')
    await environment.store.write('keyed.servers', 'i-9', b'\xff\x00')
    await environment.store.write('keyed.op', 'config', b'[]')
    await asyncio.sleep(0.8)
    assert (await (await environment.connect()).fetch('/read/')).status == 200


async def test_state_is_read_again_after_dropped_history(
    environment: RouterEnvironment,
) -> None:
    """Guards against a router that misses changes during a store outage.

    The store drops its history before the router can read it.
    """
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    environment.store.is_down = True
    await asyncio.sleep(0.2)
    await environment.register(server, state='draining')
    for topic in environment.store.topics.values():
        topic.drop_history()
    environment.store.is_down = False
    directory = environment.gateway.catalogue.directory
    await environment.wait_for(
        lambda: any(
            known.entry.is_leaving for known in directory.servers.values()
        ),
    )


async def test_drain_finishes_accepted_requests(
    environment: RouterEnvironment,
) -> None:
    """Guards against a shutdown that interrupts an accepted request."""
    released = asyncio.Event()

    async def respond_when_released(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await released.wait()
        writer.write(complete_response(request))

    server = await environment.add_server(respond_when_released)
    await environment.ready(1)
    caller = await environment.connect()
    await caller.send('/order/')
    await environment.wait_for(lambda: bool(server.requests))
    draining = asyncio.ensure_future(environment.kernel.drain(10))
    await asyncio.sleep(0.1)
    assert not environment.gateway.is_ready
    released.set()
    response = await caller.read()
    assert (response.status, response.body) == (200, b'done')
    assert await draining


async def test_conflicting_body_lengths_are_rejected(
    environment: RouterEnvironment,
) -> None:
    """Guards against request smuggling.

    With both Content-Length and Transfer-Encoding a server could parse one
    request as two.
    """
    server = await environment.add_server(respond_ok)
    await environment.ready(1)
    caller = await environment.connect()
    await caller.send(
        '/order/',
        body=b'0\r\n\r\nGET /read/ HTTP/1.1\r\n\r\n',
        transfer_encoding='chunked',
    )
    assert (await caller.read()).status == 400
    assert not server.requests


def unframed_response(request: ReceivedRequest, body: bytes) -> bytes:
    """Return a sealed response that ends with its connection."""
    request_id = request.headers['x-pollenloom-attempt-id']
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


async def test_response_without_length_ends_with_its_connection(
    environment: RouterEnvironment,
) -> None:
    """Guards against rejecting a complete response without a length."""

    async def respond(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(unframed_response(request, b'whole'))
        await writer.drain()
        writer.close()

    await environment.add_server(respond)
    await environment.ready(1)
    response = await (await environment.connect()).fetch('/order/')
    assert (response.status, response.body) == (200, b'whole')
