"""Two versions in quick succession; the second raises `max_body_bytes`."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Client,
    Router,
    Store,
    Worker,
    configuration,
    route,
    run_case,
)

SERVICE = 'werkbank-app'
ROUTE = route('timber-order', '/timber/', 'non_idempotent', SERVICE)
KEY = 'asnmgkcuyj8pjbvk9m68'
# Bodies of orders have 600 bytes on average and at most 3,600 on this site.
BODY_BYTES = (200, 600, 900, 1500, 3600)
LIMIT_BEFORE, LIMIT_AFTER = 1024, 4_194_304
# Pause between the two versions, in seconds.
GAP = 0.08


class KeepingWorker(Worker):
    """Keeps the bodies of the requests that it ran."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.bodies = {}

    async def work(self, attempt, start, headers, body, common, writer):
        self.bodies[attempt] = body
        await super().work(attempt, start, headers, body, common, writer)


async def play(record, directory, ended):
    store = Store(record)
    routers = []
    for vm in ('edge-1', 'edge-2'):
        router = Router(record, directory, vm, await store.listen(vm))
        ended.append(router)
        routers.append(router)
    workers = [
        KeepingWorker(record, store, name, SERVICE)
        for name in ('i-1', 'i-2', 'i-3')
    ]
    for worker in workers:
        await worker.start()

    async def publish(version, limit, timeout_ms):
        tenants = [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}]
        routes = [{**ROUTE, 'timeout_ms': timeout_ms}]
        content = configuration(
            version, routes, [SERVICE], tenants, max_body_bytes=limit
        )
        await store.write('keyed.op', 'config', content)
        record.add('acknowledged', version=version, max_body_bytes=limit)

    before = LIMIT_BEFORE if TROUBLE else LIMIT_AFTER
    await publish(1, before, 1000)
    for router in routers:
        router.start()
    for router in routers:
        if not await router.wait_until_ready():
            raise CannotRun(f'{router.vm} is not ready')
    client = Client(record)
    sent = {}
    answers = {}

    async def orders(router, seconds, limit):
        """Send orders that keep to a limit, one after the other."""
        sizes = [size for size in BODY_BYTES if size <= limit]
        ends_at = record.now() + seconds
        number = 0
        while record.now() < ends_at:
            size = sizes[number % len(sizes)]
            body = (b'walnut %06d ' % number * (size // 14 + 1))[:size]
            attempt, _, answer = await client.send(
                router, 'POST /timber/2f', KEY, body
            )
            sent[attempt] = body
            answers[attempt] = answer.status
            number += 1

    async def all_orders(seconds, limit):
        await asyncio.gather(
            *(orders(router, seconds, limit) for router in routers * 2)
        )

    await all_orders(1.5, before)
    if set(answers.values()) != {200}:
        raise CannotRun(f'before the change: {set(answers.values())}')
    await publish(4, before, 900)
    await asyncio.sleep(GAP)
    await publish(7, LIMIT_AFTER, 900)
    # All that clients send from here on keeps to the newest version.
    await all_orders(3, LIMIT_AFTER)
    changed = [
        {
            'id': attempt,
            'server': worker.name,
            'sent_bytes': len(sent[attempt]),
            'run_with_bytes': len(body),
            'status': answers[attempt],
        }
        for worker in workers
        for attempt, body in worker.bodies.items()
        if body != sent[attempt]
    ]
    for each in changed:
        record.add('body_changed', **each)
    print('orders sent:', len(sent))
    refused = sum(status == 413 for status in answers.values())
    print('refused as too large:', refused)
    print('run with another body:', len(changed))
    print('of these answered with 200:', sum(e['status'] == 200 for e in changed))
    return not changed


run_case(FOLDER, play)
