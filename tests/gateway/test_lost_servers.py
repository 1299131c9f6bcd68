"""What a router concludes from servers that it can't reach any more."""

import asyncio
from dataclasses import dataclass

import pytest

from pollenloom.catalogue.store_fleet_directory import StoreFleetDirectory
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    PromptPartId,
    ServerId,
    ServiceId,
    VmId,
)
from pollenloom.gateway.loss_verdict import LossVerdict
from pollenloom.gateway.prompt_guard import PromptGuard
from pollenloom.gateway.server_checks import ServerChecks
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.block_trials import FIRST_TRIAL_SECONDS
from pollenloom.routing.fleet_facts import block_key
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.prompt_facts import PromptBlock
from pollenloom_standins.worker.responses import server_entry
from pollenloom_standins.worker.scripted_backend import ReceivedRequest
from tests.gateway.conftest import RouterEnvironment, complete_response

SERVER = ServerId('i-0')
HOME = DataCentreId('enschede')


async def respond_ok(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a complete response."""
    writer.write(complete_response(request))
    await writer.drain()


@dataclass
class LostServer:
    """A server that refuses connections, as one router knows it."""

    environment: RouterEnvironment
    checks: ServerChecks
    server: BackendServer

    async def judge(self) -> LossVerdict:
        """Return what the router concludes."""
        return await self.checks.judge(self.server)

    def add_router(self) -> None:
        """Add another router to the server's data centre."""
        directory = self.checks.fleet_directory
        assert isinstance(directory, StoreFleetDirectory)
        vm = VmId('edge-other')
        router = FleetRouter(vm, HOME, ('127.0.0.1', 9), 1)
        directory.known_routers[vm] = router

    async def hear_of_it(self) -> None:
        """Receive reports from that data centre for a while."""
        table = self.checks.load_exchange.table
        for _ in range(20):
            table.hear(HOME, self.environment.kernel.clock.monotonic())
            await asyncio.sleep(0.05)


@pytest.fixture
async def lost_server(environment: RouterEnvironment) -> LostServer:
    """A registered server that has ended without notice."""
    backend = await environment.add_server(respond_ok)
    await environment.ready(1)
    await backend.stop()
    checks = environment.kernel.find(
        KernelServiceName.SERVER_CHECKS, ServerChecks
    )
    entry = checks.catalogue.directory.servers[SERVER].entry
    server = BackendServer(
        SERVER,
        entry.service,
        entry.data_centre,
        entry.version,
        entry.address,
        entry.slots,
        1,
    )
    return LostServer(environment, checks, server)


async def test_server_is_crashed_where_no_other_router_is(
    lost_server: LostServer,
) -> None:
    """Guards against crashes that nobody may report."""
    assert await lost_server.judge() is LossVerdict.CRASHED


async def test_server_behind_a_cut_has_not_crashed(
    lost_server: LostServer,
) -> None:
    """Guards against prompts blamed for a data centre that is cut off.

    A cut that answers with resets looks like a crash of each server behind
    it: 72 such crashes on carromwerk-large in four seconds, none of them real.
    """
    lost_server.add_router()
    assert await lost_server.judge() is LossVerdict.OUT_OF_TOUCH


async def test_server_beside_routers_that_are_heard_of_has_crashed(
    lost_server: LostServer,
) -> None:
    """Guards against crashes that are not seen in a fleet of many routers."""
    lost_server.add_router()
    hearing = asyncio.create_task(lost_server.hear_of_it())
    assert await lost_server.judge() is LossVerdict.CRASHED
    await hearing


async def test_server_that_said_that_it_leaves_has_not_crashed(
    lost_server: LostServer,
) -> None:
    """Guards against prompts blamed for a planned stop of their server."""
    environment = lost_server.environment
    payload = server_entry(lost_server.server.address, state='draining')
    await environment.store.write('keyed.servers', SERVER, payload)
    directory = lost_server.checks.catalogue.directory
    await environment.wait_for(
        lambda: directory.servers[SERVER].entry.is_leaving
    )
    assert await lost_server.judge() is LossVerdict.LEFT


async def test_router_that_is_cut_off_tries_nothing(
    lost_server: LostServer,
) -> None:
    """Guards against a trial by each of many routers that are cut off."""
    guard = lost_server.environment.kernel.find(
        KernelServiceName.PROMPT_GUARD, PromptGuard
    )
    await lost_server.environment.wait_for(lambda: guard.is_settled)
    lost_server.add_router()
    settled = [guard.is_settled]
    now = lost_server.environment.kernel.clock.monotonic()
    guard.load_exchange.fleet_clock.observe(1, now - 2)
    settled.append(guard.is_settled)
    guard.load_exchange.table.hear(HOME, now)
    settled.append(guard.is_settled)
    assert settled == [False, False, True]


@pytest.mark.parametrize('age', [0, FIRST_TRIAL_SECONDS])
async def test_block_of_a_sound_prompt_is_lifted_by_a_trial(
    environment: RouterEnvironment, age: float
) -> None:
    """Guards against sound requests that are refused for ten minutes.

    Only an answer shows that a blocked part is sound, and none could come.
    """
    await environment.add_server(respond_ok)
    await environment.ready(1)
    guard = environment.kernel.find(KernelServiceName.PROMPT_GUARD, PromptGuard)
    facts = guard.quarantine.facts
    block = PromptBlock(ServiceId('app'), (PromptPartId('sound'),), (), 3)
    now = environment.kernel.clock.monotonic()
    fact = facts.make_fact(block_key(block), block, now - age)
    facts.blocks.put(fact, now)
    caller = await environment.connect()
    response = await caller.fetch(
        '/stream/',
        request_id='first',
        x_pollenloom_prompt_prefix='c0:10,sound:10,own:20',
        x_pollenloom_token_usage='40,8',
    )
    is_due = age >= FIRST_TRIAL_SECONDS
    assert response.status == (200 if is_due else 400)
    if is_due:
        await environment.wait_for(
            lambda: bool(guard.quarantine.released_blocks())
        )
    block_found = guard.quarantine.find_block(
        ServiceId('app'),
        AccountId('shop'),
        (PromptPartId('sound'),),
        environment.kernel.clock.monotonic(),
    )
    assert (block_found is None) is is_due
