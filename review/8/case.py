"""Case 8: endless bytes of a worker in trouble take a router's memory."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_2 as s

# As on the machines of the installation xela-telar.
MEMORY_MB = 150
SOUND_CLIENTS = 30
BAD_REQUESTS = 1
OBSERVED_SECONDS = 25


async def watch_memory(node, record, killed) -> None:
    """Kill a process that exceeds its memory, as the platform does."""
    largest = 0.0
    while node.process.returncode is None:
        used = node.memory()
        if used > largest + 10:
            record(f'{node.name} uses {used:.0f} MB')
            largest = used
        if used > node.memory_mb:
            record(f'{node.name} exceeds {node.memory_mb} MB and is killed')
            killed.append(node.name)
            node.signal(signal.SIGKILL)
            await node.process.wait()
        await asyncio.sleep(0.05)


async def sound_client(node, number, record, counts, end) -> None:
    """Send sound streams one after the other on a kept channel."""
    await asyncio.sleep(number * 0.1)
    reader, writer = await s.connect(node.frontend)
    turn = 0
    while time.monotonic() < end:
        request_id = f'50{number:02x}{turn:012x}'
        answer = await s.ask(
            reader, writer, 'POST', '/good/x', request_id, b'draft',
            **{'X-Pollenloom-Deadline-Ms': '12000'},
        )
        record(f'client {number} {request_id}: {answer.outcome}')
        turn += 1
        if not answer.is_complete:
            # The channel had carried an earlier request to its end.
            if turn > 1:
                counts['cut' if answer.status else 'without answer'] += 1
            return
        counts[answer.status] = counts.get(answer.status, 0) + 1
        if answer.headers.get('connection') == 'close':
            return


async def bad_client(node, number, record) -> None:
    """Send a request to the worker that is in trouble."""
    reader, writer = await s.connect(node.frontend)
    answer = await s.ask(
        reader, writer, 'POST', '/bad/x', f'bad0{number:012x}', b'draft',
        **{'X-Pollenloom-Deadline-Ms': '15000'},
    )
    record(f'request {number} to the worker in trouble: {answer.outcome}')


async def case(record, work, has_trouble) -> int:
    """Run the case; return the exit code."""
    store = s.Store()
    await store.start()
    node = s.Node('edge-1', store.address, work, record, MEMORY_MB)
    workers = [
        s.WorkerProcess(HERE / 'worker.py', work, name)
        for name in ('i-good', 'i-bad')
    ]
    counts = {'cut': 0, 'without answer': 0}
    killed = []
    tasks = []
    try:
        await workers[0].start('sound')
        await workers[1].start('trouble' if has_trouble else 'sound')
        await store.write('keyed.op', 'config', s.configuration(
            1,
            [
                s.route('r-good', '/good/', 'streaming', 'good',
                        timeout_ms=12000, target_latency_ms=400),
                s.route('r-bad', '/bad/', 'streaming', 'bad',
                        timeout_ms=15000, target_latency_ms=800),
            ],
            [('good', 620), ('bad', 620)],
        ))
        tasks += [
            asyncio.ensure_future(s.log_lines(worker, record))
            for worker in workers
        ]
        for worker, service in zip(workers, ('good', 'bad'), strict=True):
            await store.write('keyed.servers', worker.name,
                              s.entry(service, worker.address, slots=128))
        await node.start()
        await node.wait_ready()
        await asyncio.sleep(3)
        record(f'{node.name} is ready, uses {node.memory():.0f} MB')
        tasks.append(
            asyncio.ensure_future(watch_memory(node, record, killed))
        )
        end = time.monotonic() + OBSERVED_SECONDS
        clients = [
            asyncio.ensure_future(
                sound_client(node, number, record, counts, end)
            )
            for number in range(SOUND_CLIENTS)
        ]
        tasks += clients
        await asyncio.sleep(5)
        bad = [
            asyncio.ensure_future(bad_client(node, number, record))
            for number in range(BAD_REQUESTS)
        ]
        tasks += bad
        await asyncio.wait((*clients, *bad), timeout=OBSERVED_SECONDS + 20)
        record(f'answers of sound requests: {counts}, killed: {killed}')
        if not has_trouble and counts.get(200, 0) < SOUND_CLIENTS:
            raise s.CannotRun('sound requests are not served')
        return s.BROKEN if killed and counts['without answer'] > 3 else s.HELD
    finally:
        for task in tasks:
            task.cancel()
        await node.end()
        for worker in workers:
            await worker.end()


sys.exit(s.run_case(HERE, case))
