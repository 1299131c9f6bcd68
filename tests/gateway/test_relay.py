"""Requests and answers between callers and scripted servers."""

import asyncio
import time

from pollenloom_standins.worker.answers import chunk
from pollenloom_standins.worker.scripted_worker import ReceivedRequest
from tests.gateway.conftest import (
    KEY,
    Site,
    event,
    make_configuration,
    make_route,
    stream_head,
    whole,
)


async def answer_whole(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer well."""
    writer.write(whole(request))
    await writer.drain()


async def fail(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a failure of a request that ran."""
    body = whole(request, b'no').replace(b'200 OK', b'500 Error')
    writer.write(body)
    await writer.drain()


async def reject(
    _: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """State that the request did not run."""
    writer.write(
        b'HTTP/1.1 503 Full\r\nX-Pollenloom-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n',
    )
    await writer.drain()


async def reset(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Close without an answer."""
    await writer.drain()
    writer.transport.abort()


async def test_request_and_answer_pass_unchanged(site: Site) -> None:
    """Guards against a changed method, path, query, body or answer."""
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    caller = await site.connect()
    answer = await caller.ask(
        '/order/a%2Fb?c=%20d',
        body=b'POST /order/ HTTP/1.1\r\n\r\n',
        x_other='kept',
    )
    assert (answer.status, answer.body) == (200, b'done')
    assert answer.headers['x-pollenloom-response-seal'] == 'seal'
    request = worker.requests[0]
    assert request.start_line == 'POST /order/a%2Fb?c=%20d HTTP/1.1'
    assert request.body == b'POST /order/ HTTP/1.1\r\n\r\n'
    assert request.headers['x-other'] == 'kept'
    assert request.headers['x-pollenloom-tenant'] == 'shop'
    assert request.headers['x-pollenloom-expect-instance'] == 'i-0'
    assert KEY not in request.headers.values()


async def test_connection_carries_many_requests(site: Site) -> None:
    """Guards against answers that go to another request."""
    await site.add_worker(answer_whole)
    await site.ready(1)
    caller = await site.connect()
    for number in range(20):
        answer = await caller.ask('/read/', request_id=f'a{number}')
        assert answer.headers['x-pollenloom-attempt-id'] == f'a{number}'


async def test_unknown_key_and_route(site: Site) -> None:
    """Guards against requests that no configuration allows."""
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    caller = await site.connect()
    assert (await caller.ask('/read/', api_key='other')).status == 401
    assert (await caller.ask('/nowhere/')).status == 404
    assert not worker.requests


async def test_order_is_not_sent_again_after_a_reset(site: Site) -> None:
    """Guards against an order that runs twice, or is said not to have run."""
    workers = [await site.add_worker(reset) for _ in range(2)]
    await site.ready(2)
    answer = await (await site.connect()).ask('/order/')
    assert answer.status == 502
    assert sum(len(worker.requests) for worker in workers) == 1


async def test_rejected_order_goes_to_another_server(site: Site) -> None:
    """Guards against giving up although nothing ran."""
    rejecting = await site.add_worker(reject)
    await site.ready(1)
    serving = await site.add_worker(answer_whole)
    await site.ready(2)
    caller = await site.connect()
    for number in range(6):
        answer = await caller.ask('/order/', request_id=f'a{number}')
        assert answer.status == 200
    assert len(serving.requests) == 6
    assert rejecting.requests


async def test_order_that_all_servers_reject_has_not_run(site: Site) -> None:
    """Guards against a refusal without a time to come back."""
    await site.add_worker(reject)
    await site.ready(1)
    answer = await (await site.connect()).ask('/order/')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


async def test_failed_read_is_sent_again(site: Site) -> None:
    """Guards against passing on a failure that another server would not."""
    await site.add_worker(fail)
    await site.ready(1)
    await site.add_worker(answer_whole)
    await site.ready(2)
    caller = await site.connect()
    for number in range(4):
        assert (await caller.ask('/read/', request_id=f'a{number}')).status == (
            200
        )


async def test_retry_without_room_takes_from_the_budget_once(
    site: Site,
) -> None:
    """Guards against a retry budget spent on requests that are not sent."""
    await site.add_worker(fail)
    await site.ready(1)
    answer = await (await site.connect()).ask('/read/')
    assert answer.status == 502
    relay = site.gateway.relay
    assert [
        budget.retries for budget in relay.call_factory.budgets.values()
    ] == [1]


async def test_failure_of_an_order_is_passed_on(site: Site) -> None:
    """Guards against a server's failure that reads as another status."""
    await site.add_worker(fail)
    await site.ready(1)
    answer = await (await site.connect()).ask('/order/')
    assert (answer.status, answer.body) == (500, b'no')


async def test_success_without_a_seal_is_no_answer(site: Site) -> None:
    """Guards against bytes of something that is no server."""

    async def unsealed(
        _: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')
        await writer.drain()

    await site.add_worker(unsealed)
    await site.ready(1)
    assert (await (await site.connect()).ask('/order/')).status == 502


async def test_late_answer_to_another_request_is_left_out(site: Site) -> None:
    """Guards against the answer of one request given to another."""

    async def crossed(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        other = whole(request, b'other').replace(b': a1', b': a0')
        writer.write(other + whole(request, b'own'))
        await writer.drain()

    await site.add_worker(crossed)
    await site.ready(1)
    answer = await (await site.connect()).ask('/order/')
    assert (answer.status, answer.body) == (200, b'own')


async def test_extra_answer_spoils_no_later_request(site: Site) -> None:
    """Guards against bytes after an answer that reach the next caller."""

    async def doubled(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(whole(request, b'one') + whole(request, b'two'))
        await writer.drain()

    await site.add_worker(doubled)
    await site.ready(1)
    caller = await site.connect()
    for number in range(5):
        answer = await caller.ask('/read/', request_id=f'a{number}')
        assert answer.body == b'one'
        assert answer.headers['x-pollenloom-attempt-id'] == f'a{number}'


async def test_cut_answer_does_not_look_complete(site: Site) -> None:
    """Guards against half an answer with a whole one's head."""

    async def cut(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(whole(request)[:-2])
        await writer.drain()
        writer.close()

    await site.add_worker(cut)
    await site.ready(1)
    assert (await (await site.connect()).ask('/order/')).status == 502


async def test_stream_passes_events_as_they_come(site: Site) -> None:
    """Guards against events that wait for the end of the stream."""
    go_on = asyncio.Event()

    async def stream(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)))
        await go_on.wait()
        writer.write(chunk(event(2)) + b'0\r\n\r\n')

    await site.add_worker(stream)
    await site.ready(1)
    caller = await site.connect()
    await caller.send('/stream/')
    await caller.reader.readuntil(b'word-1\n\n')
    go_on.set()
    await caller.reader.readuntil(b'word-2\n\n')


async def test_broken_stream_does_not_look_complete(site: Site) -> None:
    """Guards against a stream that ends as if it were whole."""

    async def broken(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1) + b'id: 2\nda'))
        await writer.drain()
        writer.close()

    await site.add_worker(broken)
    await site.ready(1)
    answer = await (await site.connect()).ask('/stream/')
    assert answer.body == event(1)
    assert not answer.is_whole


async def test_resumable_stream_goes_on_at_another_server(site: Site) -> None:
    """Guards against events that are missing, doubled or joined."""

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
        await site.add_worker(stream)
    await site.ready(2)
    answer = await (await site.connect()).ask('/resume/')
    assert answer.is_whole
    assert answer.body == b''.join(map(event, range(1, 6)))


async def test_leaving_caller_stops_the_server(site: Site) -> None:
    """Guards against servers that work for callers who have left."""

    async def never(
        _request: ReceivedRequest,
        _writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.Event().wait()

    worker = await site.add_worker(never)
    await site.ready(1)
    caller = await site.connect()
    await caller.send('/order/')
    await site.wait_for(lambda: bool(worker.requests))
    caller.writer.close()
    await site.wait_for(lambda: worker.lost == 1)


async def test_request_of_a_caller_who_has_left_is_not_sent(
    site: Site,
) -> None:
    """Guards against work for callers who left while their request waited.

    Found on scale-1 of the grown sites: a machine without time read requests
    seconds after their callers had closed, and sent them on.
    """
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    # Leaves an open connection to the server, on which nothing waits.
    await (await site.connect()).ask('/read/')
    worker.requests.clear()
    caller = await site.connect()
    await caller.send('/read/')
    caller.writer.close()
    # The loop reads request and end together, as after a delay.
    time.sleep(0.05)
    await asyncio.sleep(0.3)
    assert not worker.requests


async def test_overloaded_router_sends_callers_away(site: Site) -> None:
    """Guards against callers who stay at a machine that has no time."""
    await site.add_worker(answer_whole)
    await site.ready(1)
    caller = await site.connect()
    assert 'connection' not in (await caller.ask('/read/')).headers
    site.gateway.detector.is_overloaded = True
    assert not site.gateway.is_ready
    answer = await caller.ask('/read/')
    assert (answer.status, answer.headers['connection']) == (200, 'close')


async def test_swamped_router_refuses(site: Site) -> None:
    """Guards against requests that are taken without time to serve them."""
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    site.gateway.detector.delay = 100
    answer = await (await site.connect()).ask('/order/')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert not worker.requests


async def test_route_timeout_is_answered(site: Site) -> None:
    """Guards against callers that wait for ever for a silent server."""

    async def never(
        _request: ReceivedRequest,
        _writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.Event().wait()

    configuration = make_configuration(2)
    configuration['routes'] = [
        make_route('non_idempotent', '/order/', timeout_ms=200),
    ]
    await site.configure(configuration)
    await site.add_worker(never)
    await site.ready(1)
    catalogue = site.gateway.catalogue
    await site.wait_for(
        lambda: bool(
            catalogue.configuration and catalogue.configuration.revision == 2
        ),
    )
    answer = await (await site.connect()).ask('/order/')
    assert answer.status == 504


async def test_leaving_server_gets_nothing_more(site: Site) -> None:
    """Guards against new work for a server that drains."""
    leaving = await site.add_worker(answer_whole)
    staying = await site.add_worker(answer_whole)
    await site.ready(2)
    await site.register(leaving, state='draining')
    directory = site.gateway.catalogue.directory
    await site.wait_for(
        lambda: any(
            known.entry.is_leaving for known in directory.servers.values()
        ),
    )
    leaving.requests.clear()
    caller = await site.connect()
    for number in range(10):
        await caller.ask('/read/', request_id=f'a{number}')
    assert not leaving.requests
    assert len(staying.requests) == 10


async def test_configuration_never_goes_back(site: Site) -> None:
    """Guards against an older record that puts a revoked key in force."""
    await site.add_worker(answer_whole)
    newer = make_configuration(5)
    newer['tenants'] = [{'name': 'shop', 'api_keys': ['other']}]
    await site.configure(newer)
    await site.ready(1)
    catalogue = site.gateway.catalogue
    await site.wait_for(
        lambda: bool(
            catalogue.configuration and catalogue.configuration.revision == 5
        ),
    )
    await site.configure(make_configuration(4))
    offset = site.store.topics['keyed.op'].end
    await site.wait_for(lambda: site.store.last_read['keyed.op'] == offset)
    assert (await (await site.connect()).ask('/read/')).status == 401


async def test_unreadable_records_leave_all_in_force(site: Site) -> None:
    """Guards against a foreign record that stops the router."""
    await site.add_worker(answer_whole)
    await site.ready(1)
    await site.store.write('keyed.servers', 'i-0', b'{torn')
    await site.store.write('keyed.servers', 'i-9', b'\xff\x00')
    await site.store.write('keyed.op', 'config', b'[]')
    await asyncio.sleep(0.8)
    assert (await (await site.connect()).ask('/read/')).status == 200


async def test_dropped_history_is_read_again(site: Site) -> None:
    """Guards against a router that misses what changed in a gap."""
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    site.store.is_down = True
    await asyncio.sleep(0.2)
    await site.register(worker, state='draining')
    for topic in site.store.topics.values():
        topic.drop_history()
    site.store.is_down = False
    directory = site.gateway.catalogue.directory
    await site.wait_for(
        lambda: any(
            known.entry.is_leaving for known in directory.servers.values()
        ),
    )


async def test_drain_finishes_accepted_requests(site: Site) -> None:
    """Guards against a stop that cuts a request."""
    go_on = asyncio.Event()

    async def slow(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await go_on.wait()
        writer.write(whole(request))

    worker = await site.add_worker(slow)
    await site.ready(1)
    caller = await site.connect()
    await caller.send('/order/')
    await site.wait_for(lambda: bool(worker.requests))
    draining = asyncio.ensure_future(site.kernel.drain(10))
    await asyncio.sleep(0.1)
    assert not site.gateway.is_ready
    go_on.set()
    answer = await caller.read()
    assert (answer.status, answer.body) == (200, b'done')
    assert await draining


async def test_smuggled_length_is_refused(site: Site) -> None:
    """Guards against one request that servers take for two."""
    worker = await site.add_worker(answer_whole)
    await site.ready(1)
    caller = await site.connect()
    await caller.send(
        '/order/',
        body=b'0\r\n\r\nGET /read/ HTTP/1.1\r\n\r\n',
        transfer_encoding='chunked',
    )
    assert (await caller.read()).status == 400
    assert not worker.requests


def unframed(request: ReceivedRequest, body: bytes) -> bytes:
    """Return a sealed answer that ends with its connection."""
    request_id = request.headers['x-pollenloom-attempt-id']
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: seal\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


async def test_answer_without_length_ends_with_its_connection(
    site: Site,
) -> None:
    """Guards against refusing a whole answer that tells no length."""

    async def answer(
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(unframed(request, b'whole'))
        await writer.drain()
        writer.close()

    await site.add_worker(answer)
    await site.ready(1)
    answered = await (await site.connect()).ask('/order/')
    assert (answered.status, answered.body) == (200, b'whole')
