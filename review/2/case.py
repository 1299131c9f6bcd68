"""A new version lowers `max_body_bytes` while clients send orders."""

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
ROUTES = [route('timber-order', '/timber/', 'non_idempotent', SERVICE)]
KEY = 'asnmgkcuyj8pjbvk9m68'
# Bound of the site, in seconds: until then the version before may be in force.
CONFIG_APPLY = 2.0
# Bodies of orders have 600 bytes on average and at most 3,600 on this site.
BODY_BYTES = (200, 600, 900, 1500, 3600)
LIMIT_BEFORE, LIMIT_AFTER = 4_194_304, 1024


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

    async def publish(version, limit):
        tenants = [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}]
        content = configuration(
            version, ROUTES, [SERVICE], tenants, max_body_bytes=limit
        )
        await store.write('keyed.op', 'config', content)
        return record.add('acknowledged', version=version, max_body_bytes=limit)

    await publish(1, LIMIT_BEFORE)
    for router in routers:
        router.start()
    for router in routers:
        if not await router.wait_until_ready():
            raise CannotRun(f'{router.vm} is not ready')
    client = Client(record)
    sent = {}
    answers = {}

    async def orders(seconds, sizes):
        """Send orders for some seconds, in turn to both routers."""
        limit = record.now() + seconds
        number = 0
        while record.now() < limit:
            size = sizes[number % len(sizes)]
            body = (b'walnut %06d ' % number * (size // 14 + 1))[:size]
            attempt, _, answer = await client.send(
                routers[number % 2], 'POST /timber/2f', KEY, body
            )
            sent[attempt] = body
            answers[attempt] = answer.status
            number += 1

    await orders(1.5, BODY_BYTES)
    if set(answers.values()) != {200}:
        raise CannotRun(f'before the change: {set(answers.values())}')
    await publish(4, LIMIT_AFTER if TROUBLE else LIMIT_BEFORE)
    # Both versions may be in force; these clients still keep to the first one.
    await orders(CONFIG_APPLY - 0.2, BODY_BYTES)
    # From here on they keep to the new one.
    await orders(1.5, [size for size in BODY_BYTES if size <= LIMIT_AFTER])
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
    print('run with another body:', len(changed))
    print('of these answered with 200:', sum(e['status'] == 200 for e in changed))
    return not changed


run_case(FOLDER, play)
