"""A server says that it leaves while the store turns one machine away."""

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
    response,
    route,
    run_case,
)

SERVICE = 'werkbank-app'
ROUTES = [route('timber-order', '/timber/', 'non_idempotent', SERVICE)]
KEY = 'asnmgkcuyj8pjbvk9m68'
# Figures of the site, in seconds.
DRAIN, OUTAGE = 2.0, 9.0
# The longest work of an order on the site's sheet.
WORK = 0.11
PAUSE = 0.04


class LeavingWorker(Worker):
    """Says `Server-Leaving: 1` in all answers once it leaves."""

    is_leaving = False

    async def work(self, attempt, start, headers, body, common, writer):
        self.runs.append(attempt)
        self.record.add('runs', server=self.name, id=attempt)
        await asyncio.sleep(WORK)
        sealed = self.sealed(common)
        if self.is_leaving:
            sealed.append(('Server-Leaving', '1'))
        writer.write(response('200 OK', sealed, attempt.encode()))

    async def leave(self):
        """Report draining; serve for `drain_ms` and a little longer; exit."""
        self.is_leaving = True
        self.state = 'draining'
        await self.announce()
        self.record.add('says_that_it_leaves', server=self.name)
        await asyncio.sleep(DRAIN + 2.0)
        await self.exit()
        await self.store.write('keyed.servers', self.name, b'')


async def play(record, directory, ended):
    store = Store(record)
    routers = []
    for vm in ('edge-1', 'edge-2', 'edge-3'):
        router = Router(record, directory, vm, await store.listen(vm))
        ended.append(router)
        routers.append(router)
    workers = [
        LeavingWorker(record, store, name, SERVICE)
        for name in ('i-1', 'i-2', 'i-3')
    ]
    for worker in workers:
        await worker.start()
    tenants = [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}]
    await store.write(
        'keyed.op', 'config', configuration(1, ROUTES, [SERVICE], tenants)
    )
    for router in routers:
        router.start()
    for router in routers:
        if not await router.wait_until_ready():
            raise CannotRun(f'{router.vm} is not ready')
    client = Client(record)
    leaver = workers[0]
    sent = {}
    answers = {}
    passed_on = []

    async def order():
        attempt, at, answer = await client.send(
            routers[0], 'POST /timber/2f', KEY, b'walnut'
        )
        sent[attempt] = at
        answers[attempt] = answer.status
        if answer.headers.get('server-leaving') == '1':
            passed_on.append(record.now())

    async def traffic(seconds):
        tasks = []
        for _ in range(int(seconds / PAUSE)):
            tasks.append(asyncio.create_task(order()))
            await asyncio.sleep(PAUSE)
        await asyncio.gather(*tasks)

    await traffic(2)
    if set(answers.values()) != {200}:
        raise CannotRun(f'before the trouble: {set(answers.values())}')
    if TROUBLE:
        record.add('store_turns_away', machine='edge-1')
        store.busy.add('edge-1')
    await asyncio.sleep(0.5)
    leaving = asyncio.create_task(leaver.leave())
    await traffic(OUTAGE - 1.5)
    store.busy.clear()
    record.add('store_serves_all')
    await leaving
    await traffic(1)
    late = []
    if TROUBLE and not passed_on:
        raise CannotRun('no answer with Server-Leaving was passed on')
    if passed_on:
        late = [
            attempt
            for attempt in leaver.runs
            if sent[attempt] > passed_on[0] + DRAIN
        ]
    lost = [
        attempt for attempt in leaver.runs if answers.get(attempt) != 200
    ]
    record.add('late', requests=late)
    record.add('ran_and_not_answered', requests=lost)
    print('answers with Server-Leaving passed on:', len(passed_on))
    print('sent over drain_ms later and run there:', len(late))
    print('run there and not answered:', len(lost))
    return not late


run_case(FOLDER, play)
