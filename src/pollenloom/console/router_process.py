"""Life cycle of a router process: start, signals, shutdown."""

import asyncio
import os
import signal
import sys
from collections.abc import Collection, Coroutine, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec
from absl import logging

from pollenloom.console.exit_code import ExitCode
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.kernel.listener import Listener

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
# Fraction of `shutdown_seconds` that is reserved for stopping the services
# after the drain.
STOP_FRACTION: Final = 0.1
ADDRESS_LABELS: Final = MappingProxyType(
    {
        KernelServiceName.FRONTEND: 'callers',
        KernelServiceName.OPERATIONS: 'operators',
        KernelServiceName.GATEWAY: 'callers',
    }
)


class RouterProcess:
    """Starts the services, waits for a signal, shuts down.

    `configured_addresses` has the address of each service in the settings. It
    is used for a service that does not know its bound address. A signal of
    `ignored_repeats` does not end a shutdown that has begun.
    """

    def __init__(
        self,
        kernel: Kernel,
        vm: VmId,
        shutdown_seconds: float,
        configured_addresses: Mapping[KernelServiceName, str],
        ignored_repeats: Collection[signal.Signals] = (),
    ) -> None:
        self.kernel = kernel
        self.vm = vm
        self.shutdown_seconds = shutdown_seconds
        self.configured_addresses = configured_addresses
        self.ignored_repeats = ignored_repeats
        self.stop_requested = asyncio.Event()

    async def run(self) -> ExitCode:
        """Run until a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self.handle_signal, number)
        try:
            started = await self.start()
        except Exception:
            logging.exception('router_start_failed')
            return ExitCode.START_FAILED
        if started:
            write_line({'ready': self.addresses()})
            logging.info('router_ready %s', self.vm)
            await self.stop_requested.wait()
        return await self.shut_down()

    async def start(self) -> bool:
        """Start all services; return False if a signal came first."""
        start = asyncio.ensure_future(self.kernel.start())
        stop = asyncio.ensure_future(self.stop_requested.wait())
        await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if start.done():
            start.result()
            return True
        # The kernel stops the services that have started so far.
        start.cancel()
        await asyncio.wait((start,))
        return False

    async def shut_down(self) -> ExitCode:
        """Drain and stop within `shutdown_seconds`."""
        limit = self.shutdown_seconds
        drained = await self.drain(limit * (1 - STOP_FRACTION))
        stopped = await self.stop(limit * STOP_FRACTION)
        logging.info('router_stopped %s', self.vm)
        if drained and stopped:
            return ExitCode.OK
        return ExitCode.SHUTDOWN_INCOMPLETE

    async def drain(self, timeout_seconds: float) -> bool:
        """Finish accepted work; return whether all of it has finished."""
        try:
            drained = await self.kernel.drain(timeout_seconds)
        except Exception:
            logging.exception('router_drain_failed')
            return False
        if not drained:
            logging.error('router_drain_timed_out after %s s', timeout_seconds)
        return drained

    async def stop(self, timeout_seconds: float) -> bool:
        """Stop the services; return whether all of them stopped."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.kernel.stop()
        except TimeoutError:
            logging.exception('router_stop_timed_out')
            # A task that ignores its cancellation would keep the loop running.
            exit_immediately(ExitCode.SHUTDOWN_INCOMPLETE)
        except Exception:
            logging.exception('router_stop_failed')
            return False
        return True

    def handle_signal(self, number: signal.Signals) -> None:
        """Begin the shutdown; exit immediately if it has already begun."""
        if self.stop_requested.is_set():
            if number in self.ignored_repeats:
                logging.info('router_already_stopping on %s', number.name)
                return
            logging.error('router_killed by a second %s', number.name)
            exit_immediately(ExitCode.SECOND_SIGNAL)
        logging.info('router_stopping on %s', number.name)
        self.stop_requested.set()

    def addresses(self) -> dict[str, str]:
        """Return the VM and the addresses that the services listen on."""
        addresses = {'vm': str(self.vm)}
        for name, configured in self.configured_addresses.items():
            label = ADDRESS_LABELS.get(name, name.value)
            addresses[label] = self.address(name, configured)
        return addresses

    def address(self, name: KernelServiceName, configured: str) -> str:
        """Return the bound address of a service if known, else `configured`."""
        service: object = self.kernel.services.get(name)
        return service.address if isinstance(service, Listener) else configured


def run_loop(main: Coroutine[Any, Any, ExitCode]) -> ExitCode:
    """Run the main coroutine of the process on an event loop of uvloop."""
    # libuv reads this when a loop is created; io_uring is not allowed.
    os.environ['UV_USE_IO_URING'] = '0'
    # Imported after the variable is set, in case the import reads it.
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


def write_line(content: dict[str, dict[str, str]]) -> None:
    """Write one JSON line to standard output."""
    sys.stdout.write(f'{msgspec.json.encode(content).decode()}\n')
    sys.stdout.flush()


def exit_immediately(code: ExitCode) -> None:
    """End the process without any cleanup but flushing the log."""
    logging.flush()
    os._exit(code)
