"""A router process with one service, started by `test_router_process`.

The first argument selects the behaviour of the service: `quick`, `stuck` (its
drain never ends), `waiting` (its start never ends) or `broken` (its start
fails). The second is `shutdown_seconds`.
"""

import asyncio
import sys
from pathlib import Path
from typing import ClassVar

from absl import logging

from pollenloom.console.router_run import run_router
from pollenloom.console.service_catalogue import ServiceFactory
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.settings.router_settings import (
    LimitSettings,
    PeerSettings,
    PlatformSettings,
    RouterSettings,
)


class WaitingFrontend(KernelService):
    """Simulates a front end with a request in progress."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FRONTEND

    def __init__(self, kernel: Kernel, mode: str) -> None:
        self.kernel = kernel
        self.mode = mode
        self.address = '127.0.0.1:4242'

    async def start(self) -> None:
        if self.mode == 'broken':
            raise OSError('address in use')
        if self.mode == 'waiting':
            logging.info('start_began')
            await asyncio.Event().wait()

    async def drain(self) -> None:
        logging.info('drain_began in phase %s', self.kernel.phase.value)
        if self.mode == 'stuck':
            await asyncio.Event().wait()

    async def stop(self) -> None:
        logging.info('frontend_stopped')


def make_frontend(kernel: Kernel, settings: RouterSettings) -> KernelService:
    """Return the only service."""
    return WaitingFrontend(kernel, sys.argv[1])


def factories(_: RouterSettings) -> tuple[ServiceFactory, ...]:
    """Return the factory of the only service."""
    return (make_frontend,)


def main() -> int:
    """Run the router until a signal; return its exit code."""
    settings = RouterSettings(
        vm=VmId('vm-1'),
        data_centre=DataCentreId('hengelo'),
        callers='127.0.0.1:0',
        operators='127.0.0.1:0',
        operator_token_file=Path('unused'),
        platform=PlatformSettings(url='http://127.0.0.1:9'),
        peers=PeerSettings(
            listen='127.0.0.1:0',
            fleet_key_file=Path('unused'),
        ),
        limits=LimitSettings(shutdown_seconds=float(sys.argv[2])),
    )
    return run_router(settings, factories)


if __name__ == '__main__':
    sys.exit(main())
