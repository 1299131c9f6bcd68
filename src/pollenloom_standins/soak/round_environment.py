"""Environment of a round, which faults act on."""

import random
import time
from pathlib import Path
from typing import Final

import aiohttp

from pollenloom.console.operator_client import OperatorClient
from pollenloom.core.ids import VmId
from pollenloom_standins.fleet.fleet_plan import BackendPlan, RouterPlan
from pollenloom_standins.fleet.managed_process import ProcessError
from pollenloom_standins.fleet.process_fleet import (
    OPERATOR_TOKEN,
    ProcessFleet,
    wait_for_router,
)
from pollenloom_standins.history.closed_loop_load_generator import (
    RouterRotation,
)
from pollenloom_standins.history.collector import Collector
from pollenloom_standins.history.history import History
from pollenloom_standins.soak.link_relays import LinkRelays

CALL_TIMEOUT_SECONDS: Final = 5


class RoundEnvironment:
    """Environment of a round: its fleet, relays, load balancer and records.

    Attributes:
        fleet: Processes of the fleet.
        history: Records of the round.
        relays: Relays between the routers.
        examples: Directory with the example service files.
        collector: Collects the reports of the fleet.
        routers: Routers that the load balancer sends calls to.
        random_source: Source of the faults' targets and parameters.
        busy: Targets of the faults in progress.
        schedule_problems: Parts of the schedule that could not be carried out.
    """

    def __init__(
        self,
        fleet: ProcessFleet,
        history: History,
        relays: LinkRelays,
        examples: Path,
    ) -> None:
        self.fleet = fleet
        self.history = history
        self.relays = relays
        self.examples = examples
        self.collector = Collector(fleet, history)
        self.routers = RouterRotation()
        self.random_source = random.Random(f'targets {history.seed}')
        self.busy: set[str] = set()
        self.schedule_problems: list[str] = []

    def put_routers_in_rotation(self) -> None:
        """Let the load balancer send calls to all routers."""
        for vm in self.fleet.routers:
            self.routers.base_urls[vm] = self.fleet.callers_url(vm)

    def router_plan(self, vm: str) -> RouterPlan:
        """Return the plan of a router."""
        return next(plan for plan in self.fleet.plan.routers if plan.vm == vm)

    def backend_plan(self, vm: str) -> BackendPlan:
        """Return the plan of a backend server."""
        return next(plan for plan in self.fleet.plan.backends if plan.vm == vm)

    def pick(self, candidates: list[str]) -> str | None:
        """Return a random candidate that no fault acts on, if there is one."""
        free = [name for name in candidates if name not in self.busy]
        return self.random_source.choice(free) if free else None

    async def start_router(self, vm: VmId) -> None:
        """Start a router again; put it in rotation when it is ready."""
        await self.fleet.start_router(self.router_plan(vm))
        self.collector.record_start(vm)
        try:
            await wait_for_router(self.fleet.routers[vm])
        except ProcessError as error:
            self.schedule_problems.append(f'{time.time():.3f} {error}')
            return
        self.collector.ready_at[vm] = time.time()
        self.routers.base_urls[vm] = self.fleet.callers_url(vm)

    def operator_client(self) -> OperatorClient:
        """Return a client of the running routers' addresses for operators."""
        addresses = self.fleet.operator_addresses()
        return OperatorClient(addresses, OPERATOR_TOKEN)

    async def set_backend_faults(self, vm: str, **faults: object) -> None:
        """Change the faults of a backend server's stand-in."""
        base = self.fleet.control_url(VmId(vm))
        await put_json(f'{base}/control/faults', faults)

    async def set_platform_faults(self, **faults: object) -> None:
        """Change the faults of the platform's stand-in."""
        await put_json(f'{self.fleet.platform_url}/control/faults', faults)


async def put_json(url: str, body: dict[str, object]) -> None:
    """Send a control call to a stand-in.

    Raises:
        ClientResponseError: If its status is 400 or more.
    """
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
        ) as session,
        session.put(url, json=body) as response,
    ):
        response.raise_for_status()
