"""Steps that use, disturb and check a running fleet."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import uuid_utils
from behave import given, then, when
from behave.runner import Context

from pollenloom.core.ids import AccountId, VmId
from pollenloom.core.states import Resource
from pollenloom_standins.backend.backend_reports import StateReport
from pollenloom_standins.demo.demo_plan import APPLICATION, MODEL
from pollenloom_standins.history.call_record import (
    CallKind,
    CallOutcome,
    CallRecord,
)
from pollenloom_standins.history.caller import Caller
from pollenloom_standins.history.closed_loop_load_generator import (
    ClosedLoopLoadGenerator,
)
from pollenloom_standins.history.drain_checker import DrainChecker
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.history.response_checker import ResponseChecker
from pollenloom_standins.history.starvation_checker import StarvationChecker
from pollenloom_standins.history.stop_checker import StopChecker
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.operator_faults import Drain
from pollenloom_standins.soak.round_environment import RoundEnvironment
from pollenloom_standins.soak.router_faults import RouterFreeze, RouterRestart

ACCOUNT = AccountId('webshop')
WAIT_SECONDS = 15
POLL_SECONDS = 0.05
STREAM_TOKENS = 40


@dataclass
class Calls:
    """Makes single calls to a fleet and records them in its history."""

    environment: RoundEnvironment
    orders: dict[str, str] = field(default_factory=dict)

    @property
    def vms(self) -> list[VmId]:
        """Ids of the VMs of all routers."""
        return [plan.vm for plan in self.environment.fleet.plan.routers]

    def start_record(
        self, kind: CallKind, vm: VmId, key: str = ''
    ) -> CallRecord:
        """Return the record of a call that starts now."""
        return CallRecord(
            account=ACCOUNT,
            kind=kind,
            vm=vm,
            started=time.time(),
            key=key,
        )

    def caller(self) -> Caller:
        """Return a caller that adds its calls to the history."""
        return Caller(ACCOUNT, self.environment.history.calls)

    async def order(self, vm: VmId, key: str) -> CallRecord:
        """Send an order to a router."""
        record = self.start_record(CallKind.ORDER, vm, key)
        base = self.environment.fleet.callers_url(vm)
        path = f'/{APPLICATION}/orders'
        return await self.caller().use_application(record, base, path, '{}')

    async def read(self, vm: VmId) -> CallRecord:
        """Send a read to a router."""
        record = self.start_record(CallKind.READ, vm)
        base = self.environment.fleet.callers_url(vm)
        path = f'/{APPLICATION}/stock/walnut'
        return await self.caller().use_application(record, base, path, '')

    async def stream(self, vm: VmId) -> CallRecord:
        """Request a stream of a model from a router."""
        body: dict[str, Any] = {
            'model': MODEL,
            'stream': True,
            'messages': [
                {'role': 'user', 'content': f'[tokens={STREAM_TOKENS}]'},
            ],
        }
        record = self.start_record(CallKind.STREAM, vm)
        base = self.environment.fleet.callers_url(vm)
        return await self.caller().complete(record, base, body)

    async def fetch_records(self) -> None:
        """Fetch the records of all backend servers into the history."""
        for plan in self.environment.fleet.plan.backends:
            await self.environment.collector.fetch(plan)

    async def wait_for_order(self) -> None:
        """Wait until an application lists an order.

        Raises:
            TimeoutError: If none does in time.
        """
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.environment.history.orders:
                await asyncio.sleep(POLL_SECONDS)
                await self.fetch_records()


def new_key() -> str:
    return str(uuid_utils.uuid7())


async def inject_fault(
    environment: RoundEnvironment,
    fault: Fault,
    kind: FaultKind,
    target: str,
    seconds: float,
) -> None:
    """Begin a fault, end it after some seconds and record both times."""
    record = FaultRecord(kind=kind, target=target, started=time.time())
    environment.history.faults.append(record)
    await fault.begin(environment, record)
    await asyncio.sleep(seconds)
    record.ended = time.time()
    await fault.end(environment, record)
    record.recovered = time.time()


def assert_invariant(
    context: Context, checker: PromiseChecker[History]
) -> None:
    """Check an invariant; a history without observations of it also fails."""
    history = context.environment.history
    assert checker.checked(history), 'the history has nothing to check'
    violations = list(checker.violations(history))
    assert not violations, violations


@given('applications that respond after {seconds:d} s')
def step_slow_applications(context: Context, seconds: int) -> None:
    for plan in context.environment.fleet.plan.backends:
        if plan.resource is Resource.APPLICATION:
            context.runner.run(
                context.environment.set_backend_faults(
                    plan.vm,
                    next_late=-1,
                    late_seconds=seconds,
                ),
            )


@given('engines that abort their next stream after {events:d} events')
def step_aborting_engines(context: Context, events: int) -> None:
    # Any engine can get the stream, so the fault is set on each. The stream
    # may then be aborted more than once: the scenario only needs two servers
    # that ran it.
    engines = [
        plan.vm
        for plan in context.environment.fleet.plan.backends
        if plan.resource is Resource.MODEL
    ]
    context.engines = engines
    for vm in engines:
        context.runner.run(
            context.environment.set_backend_faults(
                vm,
                next_died=1,
                events_before=events,
            ),
        )


@given('load on all routers')
def step_load(context: Context) -> None:
    async def start() -> None:
        context.load = ClosedLoopLoadGenerator(
            context.environment.history,
            context.environment.routers,
        )
        context.environment.collector.start()
        context.load.start()
        # Gives the load time to become steady.
        await asyncio.sleep(1)

    context.runner.run(start())


@given('the platform is down')
def step_platform_down(context: Context) -> None:
    context.runner.run(context.environment.set_platform_faults(down=True))


@when('the platform is up again')
def step_platform_up(context: Context) -> None:
    context.runner.run(context.environment.set_platform_faults(down=False))


@when('an order is sent to the first router')
def step_first_order(context: Context) -> None:
    async def send() -> None:
        calls = Calls(context.environment)
        context.order_key = new_key()
        context.first_order = asyncio.create_task(
            calls.order(calls.vms[0], context.order_key),
        )
        await calls.wait_for_order()

    context.runner.run(send())


@when('the first router is killed while the order runs')
def step_kill_first_router(context: Context) -> None:
    async def kill() -> CallOutcome:
        vm = Calls(context.environment).vms[0]
        await context.environment.fleet.routers[vm].kill()
        record: CallRecord = await context.first_order
        return record.outcome

    assert context.runner.run(kill()) is CallOutcome.LOST


@when('the order is sent again to the second router')
def step_repeat_order(context: Context) -> None:
    calls = Calls(context.environment)
    context.repeated_order = context.runner.run(
        calls.order(calls.vms[1], context.order_key),
    )


@then('the repeated order is rejected with an unknown outcome')
def step_outcome_unknown(context: Context) -> None:
    record = context.repeated_order
    assert record.outcome is CallOutcome.REFUSED, record
    assert record.run == 'unknown', record


@then('the order ran once')
def step_ran_once(context: Context) -> None:
    context.environment.history.orders.clear()
    context.runner.run(Calls(context.environment).fetch_records())
    keys = [run.order.key for run in context.environment.history.orders]
    assert keys == [context.order_key], keys


@then('reads and model calls get complete responses')
def step_reads_and_streams(context: Context) -> None:
    calls = Calls(context.environment)
    for vm in calls.vms:
        for call in (calls.read(vm), calls.stream(vm)):
            record = context.runner.run(call)
            assert record.outcome is CallOutcome.COMPLETE, record


@then('an order is rejected as not run')
def step_order_rejected(context: Context) -> None:
    calls = Calls(context.environment)
    record = context.runner.run(calls.order(calls.vms[0], new_key()))
    assert record.outcome is CallOutcome.REFUSED, record
    assert record.run == 'no', record


@then('no order ran')
def step_no_order(context: Context) -> None:
    context.runner.run(Calls(context.environment).fetch_records())
    assert not context.environment.history.orders


@then('an order gets a complete response')
def step_order_completed(context: Context) -> None:
    calls = Calls(context.environment)

    async def order() -> CallRecord:
        async with asyncio.timeout(WAIT_SECONDS):
            record = await calls.order(calls.vms[0], new_key())
            while record.outcome is not CallOutcome.COMPLETE:
                await asyncio.sleep(POLL_SECONDS)
                record = await calls.order(calls.vms[0], new_key())
        return record

    assert context.runner.run(order()).outcome is CallOutcome.COMPLETE


@when('a stream is requested')
def step_stream(context: Context) -> None:
    calls = Calls(context.environment)
    context.stream = context.runner.run(calls.stream(calls.vms[0]))


@then('the stream is complete')
def step_stream_complete(context: Context) -> None:
    assert context.stream.outcome is CallOutcome.COMPLETE, context.stream


@then('at least two backend servers ran it')
def step_two_servers(context: Context) -> None:
    context.runner.run(Calls(context.environment).fetch_records())
    servers = {
        run.server
        for run in context.environment.history.runs
        if run.run.request_id == context.stream.request_id
    }
    assert len(servers) > 1, servers


@when('{data_centre} is out of service for {seconds:d} s')
def step_drain(context: Context, data_centre: str, seconds: int) -> None:
    context.runner.run(
        inject_fault(
            context.environment,
            Drain(),
            FaultKind.DATA_CENTRE_DRAINED,
            data_centre,
            seconds,
        ),
    )


@when('each router is restarted gracefully')
def step_restart_all(context: Context) -> None:
    for plan in context.environment.fleet.plan.routers:
        context.runner.run(
            inject_fault(
                context.environment,
                RouterRestart(),
                FaultKind.ROUTER_RESTARTED,
                plan.vm,
                0,
            ),
        )


@when('the owner of a model pool is frozen for {seconds:f} s')
def step_freeze_owner(context: Context, seconds: float) -> None:
    environment: RoundEnvironment = context.environment

    async def freeze() -> None:
        status = await environment.operator_client().status()
        owner = next(
            pool.owner for pool in status.ok.pools if pool.service == MODEL
        )
        kind = FaultKind.OWNER_FROZEN
        await inject_fault(environment, RouterFreeze(), kind, owner, seconds)

    context.runner.run(freeze())


@when('the load continues for {seconds:d} s')
def step_load_continues(context: Context, seconds: int) -> None:
    context.runner.run(asyncio.sleep(seconds))


@when('the load stops')
def step_load_stops(context: Context) -> None:
    async def stop() -> None:
        await context.load.stop()
        await context.environment.collector.stop()

    context.runner.run(stop())


@then('{data_centre} received no new work after 3 s')
def step_no_new_work(context: Context, data_centre: str) -> None:
    assert data_centre in {
        run.target for run in context.environment.history.faults
    }
    assert_invariant(context, DrainChecker())


@then('all responses were complete or marked as errors')
def step_responses_complete(context: Context) -> None:
    assert_invariant(context, ResponseChecker())


@then('no request was interrupted')
def step_not_interrupted(context: Context) -> None:
    assert_invariant(context, StopChecker())


@then('no client account waited 10 s without service')
def step_served(context: Context) -> None:
    assert_invariant(context, StarvationChecker())


@then('no engine ran more requests than its slots')
def step_not_over_admitted(context: Context) -> None:
    environment: RoundEnvironment = context.environment

    async def excess_peaks() -> dict[str, int]:
        excess = {}
        for plan in environment.fleet.plan.backends:
            if plan.resource is Resource.MODEL:
                report = await environment.collector.get(
                    plan.vm,
                    'state',
                    StateReport,
                )
                excess[plan.vm] = report.peak_running - plan.slots
        return excess

    excess = context.runner.run(excess_peaks())
    assert max(excess.values()) <= 0, excess
