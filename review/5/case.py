"""Settings files change while machines start."""

import asyncio
import signal
import sys
import time
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
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY = 1.0
# Changes of the settings, seconds after the machines were started, and the
# machines that get the signal.
CHANGES = (0.3, 1.6, 2.9)
CHANGED = 2


class Supervised:
    """A machine whose process is started again when it has ended."""

    def __init__(self, record, router):
        self.record = record
        self.router = router
        self.own_ends = 0

    async def watch(self):
        while True:
            code = self.router.process.poll()
            if code is not None:
                self.own_ends += 1
                self.record.add('ends', vm=self.router.vm, code=code)
                await asyncio.sleep(RESTART_DELAY)
                self.router.start()
            await asyncio.sleep(0.01)


async def play(record, directory, ended):
    store = Store(record)
    routers = []
    for vm in ('edge-1', 'edge-2', 'edge-3'):
        router = Router(record, directory, vm, await store.listen(vm))
        ended.append(router)
        routers.append(router)
    for name in ('i-1', 'i-2', 'i-3'):
        await Worker(record, store, name, SERVICE).start()
    tenants = [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}]
    await store.write(
        'keyed.op', 'config', configuration(1, ROUTES, [SERVICE], tenants)
    )
    machines = [Supervised(record, router) for router in routers]
    for router in routers:
        router.start()
    watches = [asyncio.create_task(machine.watch()) for machine in machines]
    began = time.monotonic()
    for number, at in enumerate(CHANGES):
        await asyncio.sleep(max(0, began + at - time.monotonic()))
        for router in routers[:CHANGED]:
            text = router.settings.read_text()
            router.settings.write_text(
                text.replace(
                    f'retry_reserve = [{54 + number}]',
                    f'retry_reserve = [{55 + number}]',
                )
            )
            record.add('settings_change', vm=router.vm)
            # The file may also change without a signal.
            if TROUBLE and router.process.poll() is None:
                router.signal(signal.SIGHUP)
    for router in routers:
        limit = time.monotonic() + 20
        while not await router.is_ready():
            if time.monotonic() > limit:
                raise CannotRun(f'{router.vm} is not ready')
            await asyncio.sleep(0.05)
        record.add('router_ready', vm=router.vm)
    client = Client(record)
    for router in routers:
        _, _, answer = await client.send(
            router, 'POST /timber/2f', KEY, b'walnut'
        )
        if answer.status != 200:
            raise CannotRun(f'{router.vm} answers {answer.status}')
    for watch in watches:
        watch.cancel()
    ends = {machine.router.vm: machine.own_ends for machine in machines}
    record.add('ended_by_themselves', ends=ends)
    print('processes that ended by themselves:', ends)
    often = sum(count >= 3 for count in ends.values())
    return often < 2


run_case(FOLDER, play)
