"""Runs a router on a VM of the users' platform until a signal ends it."""

import os
import signal
import sys
from pathlib import Path

from absl import logging

from pollenloom.admission.local_admission import LocalAdmission
from pollenloom.catalogue.block_store import BlockStore
from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.catalogue.store_catalogue import StoreCatalogue
from pollenloom.catalogue.store_fleet_directory import StoreFleetDirectory
from pollenloom.catalogue.topic_relay import TopicRelay
from pollenloom.configuration.configuration_format import ConfigurationFormat
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.output import write_problems
from pollenloom.console.router_process import RouterProcess, run_loop
from pollenloom.duties.duty import Duty
from pollenloom.duties.proof_check import ProofCheck
from pollenloom.duties.store_duty_keeper import StoreDutyKeeper
from pollenloom.gateway.gateway_server import GatewayServer
from pollenloom.gateway.liveness_connections import LivenessConnections
from pollenloom.gateway.loop_monitor import LoopMonitor
from pollenloom.gateway.probe_server import ProbeServer
from pollenloom.gateway.prompt_guard import PromptGuard
from pollenloom.gateway.relay import Relay
from pollenloom.gateway.server_checks import ServerChecks
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.store_moves import StoreMoves
from pollenloom.observability.bounded_stream import BoundedStream
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.json_log import configure_json_log
from pollenloom.observability.metrics import Metrics
from pollenloom.platform.duty_client import DutyClient
from pollenloom.platform.duty_names import read_duties
from pollenloom.platform.platform_configuration_format import (
    PlatformConfigurationFormat,
)
from pollenloom.platform.platform_header_codec import PlatformHeaderCodec
from pollenloom.platform.store_client import StoreClient
from pollenloom.scaling.server_scaling import ServerScaling
from pollenloom.settings.node_settings import NodeSettings, StoreSettings
from pollenloom.settings.settings_holder import (
    SETTINGS_VARIABLE,
    SettingsHolder,
    load_node_settings,
)
from pollenloom.usage.usage_service import UsageService

# Memory is expensive on these VMs, and `explain` reads their logs instead.
KEPT_EVENTS = 0
# Part of `stop_seconds` that is reserved for ending the process. With 0.4 s,
# requests would be ended before the last sixth of 8 s, in which operators allow
# that.
STOP_MARGIN_SECONDS = 0.2
# The platform sends SIGKILL to end a process at once, so a repeated SIGTERM
# must not cut requests.
IGNORED_REPEATS = (signal.SIGTERM,)


def configuration_format() -> ConfigurationFormat:
    """Return the format in which operators write the configuration."""
    return PlatformConfigurationFormat()


def open_store(address: str) -> KeyedStore:
    """Return a client of the platform's store at `host:port`.

    Raises:
        ValueError: If the address is not valid.
    """
    return StoreClient.from_config(StoreSettings(address=address))


def make_services(
    kernel: Kernel,
    path: Path,
    settings: NodeSettings,
) -> list[KernelService]:
    """Return the services in start order."""
    header_codec = PlatformHeaderCodec()
    return [
        EventLog(kernel.clock, KEPT_EVENTS),
        Metrics(),
        SettingsHolder(kernel, path, settings),
        ProbeServer(kernel, settings.listen),
        LoopMonitor(kernel, settings.vm),
        StoreClient.from_config(settings.store),
        TopicRelay(kernel, settings.vm),
        StoreFleetDirectory(kernel, settings),
        StoreCatalogue(kernel),
        LoadExchange(kernel, settings),
        FactExchange(kernel, settings.vm),
        BlockStore(kernel),
        ServerConnectionPool(kernel, header_codec),
        LivenessConnections(kernel),
        ServerChecks(kernel),
        StoreMoves(kernel, settings),
        PromptGuard(kernel),
        LocalAdmission(kernel, settings.scheduling, settings.data_centre),
        *make_duty_services(kernel, settings),
        Relay(kernel, header_codec),
        GatewayServer(kernel, settings.listen.callers),
    ]


def make_duty_services(
    kernel: Kernel, settings: NodeSettings
) -> list[KernelService]:
    """Return the services of the duties that the platform knows."""
    if settings.duties is None:
        return []
    duties = read_duties(settings.duties.names)
    if not duties:
        return []
    check = ProofCheck(kernel)
    services: list[KernelService] = [
        DutyClient(settings.duties.address, check.valid_seconds),
        StoreDutyKeeper(kernel, settings.vm, settings.duties, duties),
    ]
    if Duty.USAGE_REPORT in duties:
        services.append(UsageService(kernel, settings.vm, settings.duties))
    if Duty.SCALING in duties:
        services.append(ServerScaling(kernel))
    return services


def run_node(path: Path | None) -> ExitCode:
    """Run a router in this process until a signal ends it.

    Without a path, the environment variable POLLENLOOM_CONFIG names the
    settings file. Its problems are written to standard error.
    """
    found = path or Path(os.environ.get(SETTINGS_VARIABLE, ''))
    checked = load_node_settings(found)
    if checked.model is None:
        write_problems(checked.problems)
        return ExitCode.INVALID_FILE
    configure_json_log(stream=BoundedStream(sys.stdout.fileno()))
    if checked.warnings:
        logging.warning('settings_adjusted %s', '; '.join(checked.warnings))
    return run_loop(run_services(found, checked.model))


async def run_services(path: Path, settings: NodeSettings) -> ExitCode:
    """Create the services on the running event loop and run them."""
    kernel = Kernel()
    for service in make_services(kernel, path, settings):
        kernel.register(service)
    process = RouterProcess(
        kernel,
        settings.vm,
        settings.bounds.stop_seconds - STOP_MARGIN_SECONDS,
        {KernelServiceName.GATEWAY: settings.listen.callers},
        ignored_repeats=IGNORED_REPEATS,
    )
    return await process.run()
