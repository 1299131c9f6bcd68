"""A fleet of routers and stand-ins as separate processes."""

import asyncio
import sys
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Final, Self

import aiohttp
import msgspec

from pollenloom.core.ids import VmId
from pollenloom.core.states import Resource, VmListState
from pollenloom_standins.fleet.fleet_operator import FleetOperator
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)
from pollenloom_standins.fleet.managed_process import (
    ManagedProcess,
    ProcessError,
)
from pollenloom_standins.fleet.router_settings_text import (
    router_settings_text,
)
from pollenloom_standins.fleet.vm_list_entries import (
    backend_entry,
    router_entry,
)

ROUTER_READY_TIMEOUT_SECONDS: Final = 10.0
READY_POLL_SECONDS: Final = 0.05
OPERATOR_TOKEN: Final = 'demo-operator-token'
FLEET_KEY: Final = 'demo-fleet-key-of-24-bytes'
PRODUCT: Final = (sys.executable, '-m', 'pollenloom')
STANDIN_KINDS: Final = MappingProxyType(
    {
        Resource.MODEL: 'engine',
        Resource.APPLICATION: 'application',
    }
)


class ProcessFleet:
    """Starts, changes and stops the processes of a plan.

    Attributes:
        plan: Routers and backend servers to start.
        directory: Directory for settings, secrets and log files.
        platform: Process of the platform's stand-in.
        routers: Router processes by VM id.
        backends: Backend server processes by VM id.
        seeds: Addresses through which routers join the fleet, by VM id.
        router_command: Command line of `pollenloom`, without arguments.
        operator: Runs operators' commands on the fleet.
    """

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.platform = ManagedProcess(
            'platform',
            standin_command('platform', *plan.platform_options),
            directory,
        )
        self.routers: dict[VmId, ManagedProcess] = {}
        self.backends: dict[VmId, ManagedProcess] = {}
        self.seeds: dict[VmId, str] = {}
        self.router_command: tuple[str, ...] = (
            sys.executable,
            '-m',
            'pollenloom',
        )
        self.operator = FleetOperator(directory / 'operator.token')

    async def __aenter__(self) -> Self:
        """Start all processes and publish the configuration."""
        try:
            await self.start()
        except BaseException:
            await self.kill_all()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes gracefully, or kill them after an error."""
        try:
            if error is None:
                await self.stop()
        except BaseException:
            # A second Ctrl-C cancels the stop.
            await self.kill_all()
            raise
        await self.kill_all()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's stand-in."""
        return f'http://{self.platform.ready["ready"]}'

    async def start(self) -> None:
        """Start stand-ins and routers and publish the configuration.

        Raises:
            ProcessError: If a process does not become ready or the publication
                fails.
        """
        self.write_secrets()
        await self.platform.start()
        await asyncio.gather(
            self.operator.publish(self.platform_url, *self.plan.directories),
            *(self.start_backend(backend) for backend in self.plan.backends),
        )
        # A router that starts before its first VM list is complete is ready,
        # but has no servers until it reads the list again.
        await self.put_vm_list()
        first, *others = self.plan.routers
        await self.start_router(first)
        await asyncio.gather(*(self.start_router(plan) for plan in others))
        await self.put_vm_list()
        await self.wait_until_ready()

    async def start_backend(self, plan: BackendPlan) -> None:
        """Start one backend server."""
        process = ManagedProcess(
            plan.vm,
            standin_command(
                STANDIN_KINDS[plan.resource],
                '--version',
                plan.version,
                '--slots',
                str(plan.slots),
                '--cold-slots',
                str(plan.cold_slots),
                *plan.options,
            ),
            self.directory,
        )
        self.backends[plan.vm] = process
        await process.start()

    async def start_router(self, plan: RouterPlan) -> None:
        """Start or restart one router."""
        path = self.write_settings(plan)
        process = ManagedProcess(
            plan.vm,
            (
                *self.router_command,
                'router',
                '--settings',
                str(path),
            ),
            self.directory,
        )
        self.routers[plan.vm] = process
        await process.start()
        listening = process.ready['ready']['peers']
        self.seeds[plan.vm] = plan.advertise or listening

    def write_secrets(self) -> None:
        """Write the secrets that all routers share.

        They are written before any router starts: a router that reads a file
        while it is written anew finds it empty.
        """
        (self.directory / 'fleet.key').write_text(FLEET_KEY)
        (self.directory / 'operator.token').write_text(OPERATOR_TOKEN)

    def write_settings(self, plan: RouterPlan) -> Path:
        """Write the settings file of one router."""
        seeds = [seed for vm, seed in self.seeds.items() if vm != plan.vm]
        path = self.directory / f'{plan.vm}.toml'
        path.write_text(
            router_settings_text(
                plan,
                self.directory,
                self.platform_url,
                tuple(seeds),
            ),
        )
        return path

    async def put_vm_list(self) -> None:
        """Replace the platform's VM list by the VMs that are running."""
        entries = [
            backend_entry(backend, self.backends[backend.vm].ready['ready'])
            for backend in self.plan.backends
            if self.backends[backend.vm].is_running
        ]
        entries.extend(
            router_entry(plan, self.seeds[plan.vm])
            for plan in self.plan.routers
            if plan.vm in self.seeds and self.routers[plan.vm].is_running
        )
        async with aiohttp.ClientSession() as session:
            response = await session.put(
                f'{self.platform_url}/control/vms',
                json={'vms': msgspec.to_builtins(entries)},
            )
            response.raise_for_status()

    async def put_backend_entry(
        self,
        plan: BackendPlan,
        state: VmListState = VmListState.LIVE,
    ) -> None:
        """Change the entry of one backend server in the VM list."""
        address = self.backends[plan.vm].ready['ready']
        entry = backend_entry(plan, address, state)
        async with aiohttp.ClientSession() as session:
            response = await session.put(
                f'{self.platform_url}/control/vms/{plan.vm}',
                json=msgspec.to_builtins(entry),
            )
            response.raise_for_status()

    def operator_addresses(self) -> tuple[str, ...]:
        """Return the addresses for operators of the running routers."""
        return tuple(
            process.ready['ready']['operators']
            for process in self.routers.values()
            if process.is_running and process.ready
        )

    async def wait_until_ready(self) -> None:
        """Wait until all running routers accept requests.

        Raises:
            ProcessError: If one is not ready in time.
        """
        for process in self.routers.values():
            if process.is_running:
                await wait_for_router(process)

    def callers_url(self, vm: VmId) -> str:
        """Return the base URL of a router's listener for callers."""
        return f'http://{self.routers[vm].ready["ready"]["callers"]}'

    def control_url(self, vm: VmId) -> str:
        """Return the base URL of a backend server's stand-in."""
        return f'http://{self.backends[vm].ready["ready"]}'

    async def stop(self) -> None:
        """Stop all processes gracefully, the routers first.

        Raises:
            ProcessError: If a process does not stop in time, or a router exits
                with another code than 0.
        """
        running = [
            process for process in self.routers.values() if process.is_running
        ]
        codes = await asyncio.gather(
            *(process.terminate() for process in running),
        )
        await asyncio.gather(
            *(process.terminate() for process in self.backends.values()),
        )
        await self.platform.terminate()
        for process, code in zip(running, codes, strict=True):
            if code:
                raise ProcessError(f'{process.label} exited with code {code}')

    async def kill_all(self) -> None:
        """Kill all processes."""
        await asyncio.gather(
            *(process.kill() for process in self.routers.values()),
            *(process.kill() for process in self.backends.values()),
            self.platform.kill(),
        )


def standin_command(kind: str, *options: str) -> tuple[str, ...]:
    """Return the command line of a stand-in."""
    return (sys.executable, '-m', 'pollenloom_standins', kind, *options)


async def wait_for_router(process: ManagedProcess) -> None:
    """Wait until a router reports that it is ready.

    Raises:
        ProcessError: If it is not ready in time.
    """
    url = f'http://{process.ready["ready"]["callers"]}/readyz'
    try:
        async with asyncio.timeout(ROUTER_READY_TIMEOUT_SECONDS):
            while not await is_ok(url):
                await asyncio.sleep(READY_POLL_SECONDS)
    except TimeoutError:
        raise ProcessError(
            f'{process.label} did not become ready in time'
        ) from None


async def is_ok(url: str) -> bool:
    """Whether a GET of the URL succeeds, with a status below 400."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return response.ok
    except aiohttp.ClientError:
        return False
