"""Case 7: an event without end from a worker in trouble hangs a router."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_2 as s

CLIENTS = 12
BEFORE_SECONDS = 3
OBSERVED_SECONDS = 30
# The route's `timeout_ms`, and the time after it in which the rule asks for an
# answer.
TIMEOUT_SECONDS = 1.0
SLACK_SECONDS = 0.5
# The time that these clients wait, which they state.
WAIT_SECONDS = 3.0


async def sound_client(node, number, record, waits, end) -> None:
    """Send stock reads, one a second, each for as long as it takes."""
    channel = None
    turn = 0
    await asyncio.sleep(number / CLIENTS)
    while time.monotonic() < end:
        request_id = f'50{number:02x}{turn:012x}'
        turn += 1
        began = time.monotonic()
        channel = channel or await s.connect(node.frontend)
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                answer = await s.ask(
                    *channel, 'GET', '/stock/x', request_id,
                    **{'X-Pollenloom-Deadline-Ms': '3000'},
                )
                outcome = answer.outcome
        except TimeoutError:
            outcome = 'no answer'
        waited = time.monotonic() - began
        waits.append((waited, outcome))
        record(f'client {number} {request_id}: {outcome}, {waited:.2f} s')
        if outcome != '200':
            channel[1].close()
            channel = None
        await asyncio.sleep(max(0, 1 - waited))


async def bad_client(node, record) -> None:
    """Send a request to the worker that is in trouble."""
    reader, writer = await s.connect(node.frontend)
    answer = await s.ask(
        reader, writer, 'POST', '/bad/x', 'bad0000000000000', b'draft',
        **{'X-Pollenloom-Deadline-Ms': '15000'},
    )
    record(f'the request to the worker in trouble: {answer.outcome}')


async def watch_readiness(node, record) -> None:
    """Ask each second whether the router is ready, as the balancer does."""
    while True:
        if not await node.is_ready():
            record(f'{node.name} does not answer the readiness check with 200')
        await asyncio.sleep(1)


async def case(record, work, has_trouble) -> int:
    """Run the case; return the exit code."""
    store = s.Store()
    await store.start()
    node = s.Node('edge-1', store.address, work, record)
    workers = [
        s.WorkerProcess(HERE / 'worker.py', work, name)
        for name in ('i-good', 'i-bad')
    ]
    waits = []
    tasks = []
    try:
        await workers[0].start('sound')
        await workers[1].start('trouble' if has_trouble else 'sound')
        await store.write('keyed.op', 'config', s.configuration(
            1,
            [
                s.route('r-read', '/stock/', 'idempotent', 'app',
                        max_attempts=2),
                s.route('r-bad', '/bad/', 'streaming', 'llm',
                        timeout_ms=15000, target_latency_ms=800),
            ],
            [('app', 100), ('llm', 620)],
        ))
        tasks += [
            asyncio.ensure_future(s.log_lines(worker, record))
            for worker in workers
        ]
        await store.write('keyed.servers', 'i-good',
                          s.entry('app', workers[0].address))
        await store.write('keyed.servers', 'i-bad',
                          s.entry('llm', workers[1].address, slots=128))
        await node.start()
        await node.wait_ready()
        await asyncio.sleep(3)
        tasks.append(asyncio.ensure_future(watch_readiness(node, record)))
        end = time.monotonic() + OBSERVED_SECONDS
        clients = [
            asyncio.ensure_future(
                sound_client(node, number, record, waits, end)
            )
            for number in range(CLIENTS)
        ]
        tasks += clients
        await asyncio.sleep(BEFORE_SECONDS)
        record('a request goes to the worker in trouble')
        tasks.append(asyncio.ensure_future(bad_client(node, record)))
        await asyncio.wait(clients, timeout=OBSERVED_SECONDS + 10)
        at_timeout = [each for each in waits if each[0] >= TIMEOUT_SECONDS]
        late_after = TIMEOUT_SECONDS + SLACK_SECONDS
        late = [each for each in at_timeout if each[0] > late_after]
        served = sum(outcome == '200' for _, outcome in waits)
        record(
            f'{len(waits)} sound requests, {served} served, '
            f'{len(at_timeout)} unanswered at {TIMEOUT_SECONDS} s, '
            f'{len(late)} of them {SLACK_SECONDS} s later'
        )
        if not has_trouble and served < 0.9 * len(waits):
            raise s.CannotRun('sound requests are not served')
        is_broken = len(late) >= 8 and len(late) > len(at_timeout) / 2
        return s.BROKEN if is_broken else s.HELD
    finally:
        for task in tasks:
            task.cancel()
        await node.end()
        for worker in workers:
            await worker.end()


sys.exit(s.run_case(HERE, case))
