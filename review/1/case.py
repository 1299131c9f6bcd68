"""An operator takes away the only API key of the only account."""

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

ROUTES = [
    route('timber-order', '/timber/', 'non_idempotent', 'werkbank-app'),
    route('stock-read', '/stock/', 'idempotent', 'werkbank-app', attempts=2),
]
SERVICES = ['werkbank-app']
KEY = 'asnmgkcuyj8pjbvk9m68'
OTHER_KEY = 'k7b2ex5wa5xwyhks8nbk'
# Bounds of the site, in seconds. `revoke_ms` is the longer of the two that
# could be meant, so the case waits for it.
CONFIG_APPLY, REVOKE = 2.0, 5.0


async def play(record, directory, ended):
    store = Store(record)
    routers = []
    for vm in ('edge-1', 'edge-2'):
        address = await store.listen(vm)
        router = Router(record, directory, vm, address)
        ended.append(router)
        routers.append(router)
    for name in ('i-1', 'i-2', 'i-3'):
        await Worker(record, store, name, 'werkbank-app').start()

    async def publish(version, keys):
        tenants = [{'name': 'hule930', 'api_keys': keys, 'priority': 1}]
        await store.write(
            'keyed.op',
            'config',
            configuration(version, ROUTES, SERVICES, tenants),
        )
        record.add('acknowledged', version=version, keys=keys)

    await publish(1, [KEY])
    for router in routers:
        router.start()
    for router in routers:
        if not await router.wait_until_ready():
            raise CannotRun(f'{router.vm} is not ready')
    client = Client(record)

    async def sends(key, count=10):
        statuses = []
        for number in range(count):
            router = routers[number % 2]
            for line, body in (
                ('POST /timber/2f', b'walnut'),
                ('GET /stock/2f', b''),
            ):
                _, _, answer = await client.send(router, line, key, body)
                statuses.append(answer.status)
        return statuses

    good = await sends(KEY)
    unknown = await sends('neverheld000000000', 3)
    if set(good) != {200} or set(unknown) != {401}:
        raise CannotRun(f'before the change: {good} {unknown}')
    # With trouble, the account is left without a key until the operator hands
    # out a new one; without, the old key is replaced by a new one at once.
    await publish(4, [] if TROUBLE else [OTHER_KEY])
    await asyncio.sleep(max(CONFIG_APPLY, REVOKE) + 1)
    revoked = await sends(KEY)
    never_held = await sends('neverheld000000000')
    none = await sends(None)
    record.add(
        'statuses', revoked=revoked, never_held=never_held, no_key=none
    )
    print('revoked key:', revoked)
    print('key that no configuration held:', never_held)
    print('no key:', none)
    return not any(
        status == 200 for status in (*revoked, *never_held, *none)
    )


run_case(FOLDER, play)
