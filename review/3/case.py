"""Open channels to the store go silent; later a key is taken away."""

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
KEYS = ('asnmgkcuyj8pjbvk9m68', 'k7b2ex5wa5xwyhks8nbk')
# Bounds of the site, in seconds.
STABLE, CONFIG_APPLY = 3.0, 2.0
ROUNDS = 1


async def play(record, directory, ended):
    store = Store(record)
    routers = []
    for number in range(4):
        vm = f'edge-{number}'
        router = Router(record, directory, vm, await store.listen(vm))
        ended.append(router)
        routers.append(router)
    for name in ('i-1', 'i-2', 'i-3'):
        await Worker(record, store, name, SERVICE).start()

    version = 0

    async def publish(keys):
        nonlocal version
        version += 3
        tenants = [
            {'name': f'tenant-{key[:4]}', 'api_keys': [key], 'priority': 1}
            for key in keys
        ]
        content = configuration(version, ROUTES, [SERVICE], tenants)
        await store.write('keyed.op', 'config', content)
        return record.add('acknowledged', version=version, keys=keys)

    await publish(KEYS)
    for router in routers:
        router.start()
    for router in routers:
        if not await router.wait_until_ready():
            raise CannotRun(f'{router.vm} is not ready')
    client = Client(record)
    late = []

    async def send(router, acknowledged_at):
        _, at, answer = await client.send(
            router, 'POST /timber/2f', KEYS[1], b'walnut'
        )
        if acknowledged_at is None:
            return answer.status
        if answer.status == 200 and at > acknowledged_at + CONFIG_APPLY:
            late.append((router.vm, round(at - acknowledged_at, 2)))
        return answer.status

    for number in range(ROUNDS):
        await asyncio.sleep(10)
        statuses = [await send(router, None) for router in routers]
        if set(statuses) != {200}:
            raise CannotRun(f'before the trouble: {statuses}')
        if TROUBLE:
            store.silence_open_channels()
        # From here on the machines are in touch again.
        await asyncio.sleep(STABLE + 0.2)
        acknowledged_at = await publish(KEYS[:1])
        for _ in range(50):
            await asyncio.gather(
                *(send(router, acknowledged_at) for router in routers)
            )
            await asyncio.sleep(0.1)
        await publish(KEYS)
    record.add('ran_with_a_dropped_key', requests=late)
    latest = {}
    for vm, seconds in late:
        latest[vm] = max(seconds, latest.get(vm, 0))
    print('run with the dropped key later than config_apply_ms:', len(late))
    print('latest, in seconds after the ack:', latest)
    return not late


run_case(FOLDER, play)
