"""Fleet for hot path measurements: a platform stand-in and two routers."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any, Final

import aiohttp

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.core.states import Resource, VmListState, VmRole
from pollenloom_standins.capacity.code_version import CodeVersion
from pollenloom_standins.capacity.process_time import processor_seconds
from pollenloom_standins.capacity.service_files import (
    service_text,
    write_service,
)
from pollenloom_standins.fleet.fleet_plan import RouterPlan
from pollenloom_standins.fleet.managed_process import (
    ManagedProcess,
    ProcessError,
)
from pollenloom_standins.fleet.router_settings_text import (
    router_settings_text,
)

MODEL_SERVICE: Final = ServiceId('answers')
APPLICATION_SERVICE: Final = ServiceId('timber')
SERVICES: Final = (
    (MODEL_SERVICE, Resource.MODEL),
    (APPLICATION_SERVICE, Resource.APPLICATION),
)
DATA_CENTRE: Final = DataCentreId('enschede')
ROUTERS: Final = (VmId('router-1'), VmId('router-2'))
# Above the number of requests in flight in any measurement, so that free slots
# never limit the rate.
SLOTS_PER_SERVER: Final = 512
OPERATOR_TOKEN: Final = 'capacity-operator-token'
FLEET_KEY: Final = 'capacity-fleet-key-of-27-bytes'
OWNERS_TIMEOUT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.1
SETTINGS_SECTIONS: Final = '[limits]\ndrain_grace_seconds = 0\n'


class HotPathFleet:
    """Runs two routers of one version of the code with a platform stand-in.

    Attributes:
        version: Code that the routers run.
        source: Directory of that code's packages.
        directory: Where settings, secrets and logs are written.
        accounts: Number of client accounts of each service.
        routers: Router processes by VM id.
        owners: Owner VM of each service's pool.
    """

    def __init__(
        self,
        version: CodeVersion,
        directory: Path,
        accounts: int,
    ) -> None:
        self.version = version
        self.source = version.root / 'src'
        self.directory = directory
        self.accounts = accounts
        self.routers: dict[VmId, ManagedProcess] = {}
        self.owners: dict[ServiceId, VmId] = {}
        self.platform = self.create_process(
            'platform',
            'pollenloom_standins',
            'platform',
        )

    def create_process(self, label: str, *module: str) -> ManagedProcess:
        """Return a process, not yet started, for a module of this version."""
        return ManagedProcess(
            label,
            (
                'env',
                f'PYTHONPATH={self.version.root / "src"}',
                sys.executable,
                '-m',
                *module,
            ),
            self.directory,
        )

    async def start(self, server_address: str) -> None:
        """Start all processes and wait until both pools have an owner.

        Args:
            server_address: `host:port` of the fast server, the backend server
                of both services.

        Raises:
            ProcessError: If a process does not start or the service files
                are rejected.
            TimeoutError: If the routers do not agree on the pool owners.
        """
        self.directory.mkdir(parents=True)
        (self.directory / 'fleet.key').write_text(FLEET_KEY)
        (self.directory / 'operator.token').write_text(OPERATOR_TOKEN)
        await self.platform.start()
        await self.publish()
        seeds: list[str] = []
        for vm in ROUTERS:
            seeds.append(await self.start_router(vm, tuple(seeds)))
        await self.put_vm_list(server_address, tuple(seeds))
        async with asyncio.timeout(OWNERS_TIMEOUT_SECONDS):
            await self.wait_for_owners()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f'http://{self.platform.ready["ready"]}'

    async def publish(self) -> None:
        """Write and publish the service files.

        Raises:
            ProcessError: If they are rejected.
        """
        services = self.directory / 'services'
        for service, resource in SERVICES:
            text = service_text(
                service,
                resource,
                self.accounts,
                (DATA_CENTRE,),
            )
            write_service(services, service, text)
        publisher = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'pollenloom',
            'publish',
            '--platform',
            self.platform_url,
            '--publisher',
            'capacity',
            str(services),
            env={**os.environ, 'PYTHONPATH': str(self.source)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await publisher.communicate()
        if publisher.returncode:
            raise ProcessError(f'publish failed: {output.decode()}')

    async def start_router(self, vm: VmId, seeds: tuple[str, ...]) -> str:
        """Start a router and return the address that its peers connect to.

        Args:
            vm: VM id of the router.
            seeds: Peer addresses of the routers that were started before.
        """
        plan = RouterPlan(
            vm=vm,
            data_centre=DATA_CENTRE,
            host='127.0.0.1',
            sections=SETTINGS_SECTIONS,
        )
        path = self.directory / f'{vm}.toml'
        path.write_text(
            router_settings_text(
                plan,
                self.directory,
                self.platform_url,
                seeds,
            ),
        )
        process = self.create_process(
            vm,
            'pollenloom',
            'router',
            '--settings',
            str(path),
        )
        self.routers[vm] = process
        await process.start()
        peers: str = process.ready['ready']['peers']
        return peers

    async def put_vm_list(
        self,
        server_address: str,
        peers: tuple[str, ...],
    ) -> None:
        """Replace the VM list of the platform stand-in.

        Args:
            server_address: `host:port` of the fast server.
            peers: Peer addresses of the routers, in the order of `ROUTERS`.
        """
        entries = [
            {
                'vm': f'server-{service}',
                'role': VmRole.BACKEND.value,
                'address': server_address,
                'service': service,
                'version': 'v1',
                'slots': SLOTS_PER_SERVER,
                'cold_slots': SLOTS_PER_SERVER,
            }
            for service, _ in SERVICES
        ]
        entries.extend(
            {'vm': vm, 'role': VmRole.ROUTER.value, 'address': address}
            for vm, address in zip(ROUTERS, peers, strict=True)
        )
        for entry in entries:
            entry['data_centre'] = DATA_CENTRE
            entry['state'] = VmListState.LIVE.value
        async with aiohttp.ClientSession() as session:
            response = await session.put(
                f'{self.platform_url}/control/vms',
                json={'vms': entries},
            )
            response.raise_for_status()

    async def wait_for_owners(self) -> None:
        """Wait until both routers report the same owners of all pools."""
        while True:
            owners = [await self.read_owners(vm) for vm in ROUTERS]
            if owners[0] == owners[1] and len(owners[0]) == len(SERVICES):
                self.owners = owners[0]
                return
            await asyncio.sleep(POLL_SECONDS)

    async def read_owners(self, vm: VmId) -> dict[ServiceId, VmId]:
        """Return the pool owners that a router reports in its status.

        Pools without backend servers are left out.
        """
        address = self.routers[vm].ready['ready']['operators']
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f'http://{address}/status',
                headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
            ) as response,
        ):
            status: dict[str, Any] = await response.json()
        return {
            ServiceId(pool['service']): VmId(pool['owner'])
            for pool in status['pools']
            if pool['servers']
        }

    def callers_url(self, vm: VmId) -> str:
        """Return the base URL of a router's listener for callers."""
        return f'http://{self.routers[vm].ready["ready"]["callers"]}'

    def router_for(self, service: ServiceId, *, at_owner: bool) -> VmId:
        """Return the router that owns the pool of a service.

        Args:
            service: Service of the pool.
            at_owner: False to return the other router instead.
        """
        owner = self.owners[service]
        if at_owner:
            return owner
        return next(vm for vm in ROUTERS if vm != owner)

    def processor_times(self) -> dict[VmId, float]:
        """Return the processor time used by each router, in seconds."""
        return {
            vm: processor_seconds(process.pid)
            for vm, process in self.routers.items()
        }

    async def stop(self) -> None:
        """Kill all processes."""
        await asyncio.gather(
            *(process.kill() for process in self.routers.values()),
            self.platform.kill(),
        )
