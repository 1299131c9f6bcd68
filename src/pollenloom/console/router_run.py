"""Runs the router of the command `pollenloom router` in this process."""

from collections.abc import Callable

from absl import logging

from pollenloom.console.exit_code import ExitCode
from pollenloom.console.router_process import RouterProcess, run_loop
from pollenloom.console.service_catalogue import (
    ServiceFactory,
    service_factories,
)
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.json_log import configure_json_log
from pollenloom.settings.router_settings import RouterSettings


def run_router(
    settings: RouterSettings,
    factories: Callable[
        [RouterSettings],
        tuple[ServiceFactory, ...],
    ] = service_factories,
) -> ExitCode:
    """Run one router in this process until a signal ends it."""
    configure_json_log()
    return run_loop(run_services(settings, factories(settings)))


async def run_services(
    settings: RouterSettings,
    factories: tuple[ServiceFactory, ...],
) -> ExitCode:
    """Create the services on the running event loop and run them."""
    kernel = Kernel()
    try:
        for factory in factories:
            kernel.register(factory(kernel, settings))
    except (OSError, ValueError, LookupError):
        logging.exception('router_settings_rejected')
        return ExitCode.START_FAILED
    process = RouterProcess(
        kernel,
        settings.vm,
        settings.limits.shutdown_seconds,
        {
            KernelServiceName.FRONTEND: settings.callers,
            KernelServiceName.OPERATIONS: settings.operators,
            KernelServiceName.PEERS: settings.peers.listen,
        },
    )
    return await process.run()
