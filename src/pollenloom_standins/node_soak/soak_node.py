"""A node: a `pollenloom.node` process with its settings file."""

import asyncio
import os
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from pollenloom.core.host_port import split_address
from pollenloom_standins.fleet.managed_process import (
    ManagedProcess,
    ProcessError,
)
from pollenloom_standins.serving.free_addresses import free_addresses

READY_POLL_SECONDS: Final = 0.05
READY_TIMEOUT_SECONDS: Final = 30.0
STOP_LIMIT_SECONDS: Final = 8
SETTINGS_TEMPLATE: Final = """
vm = "{vm}"
data_centre = "{data_centre}"

[listen]
callers = "{callers}"
readiness = "{readiness}"
metrics = "{metrics}"
peers = "{peers}"

[store]
address = "{store}"

[bounds]
stop_seconds = {stop_seconds}
"""
DUTIES_TEMPLATE: Final = """
[duties]
address = "{address}"
names = ["usage_report", "autoscale"]
lease_milliseconds = {lease_milliseconds}
clock_difference_milliseconds = 0
window_seconds = {window_seconds}
late_seconds = {late_seconds}
first_start = [true]
"""


@dataclass(frozen=True, slots=True)
class SoakDuties:
    """Duties of a node; see `DutySettings`."""

    address: str
    lease_milliseconds: float
    window_seconds: float
    late_seconds: float


class SoakNode(ManagedProcess):
    """A node's process with its output in a file.

    Attributes:
        vm: Id of its VM.
        boot: Number of its starts so far.
        callers: Address for callers.
        readiness: Address for readiness probes.
        metrics: Address for metrics and duties.
        settings: Path of the settings file.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        store: str,
        directory: Path,
        stop_seconds: float = STOP_LIMIT_SECONDS,
        duties: SoakDuties | None = None,
    ) -> None:
        super().__init__(
            vm,
            (sys.executable, '-m', 'pollenloom.node'),
            directory,
        )
        self.vm = vm
        self.boot = 0
        callers, readiness, metrics, peers = free_addresses('127.0.0.1', 4)
        self.callers = callers
        self.readiness = readiness
        self.metrics = metrics
        self.settings = directory / f'{vm}.toml'
        text = SETTINGS_TEMPLATE.format(
            vm=vm,
            data_centre=data_centre,
            callers=self.callers,
            readiness=self.readiness,
            metrics=metrics,
            peers=peers,
            store=store,
            stop_seconds=stop_seconds,
        )
        if duties is not None:
            text += DUTIES_TEMPLATE.format_map(asdict(duties))
        self.settings.write_text(text, encoding='utf-8')

    async def start(self) -> None:
        """Start the process without waiting; see `wait_until_ready`."""
        self.boot += 1
        with self.log_path.open('ab') as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdout=log_file,
                stderr=log_file,
                env={
                    **os.environ,
                    'UV_USE_IO_URING': '0',
                    'POLLENLOOM_CONFIG': str(self.settings),
                },
                start_new_session=True,
            )

    async def is_ready(self) -> bool:
        """Whether the node is ready, by the load balancer's probe."""
        address = split_address(self.readiness)
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
        except OSError:
            return False
        writer.close()
        return b' 200 ' in line

    async def wait_until_ready(self) -> None:
        """Wait until the process is ready.

        Raises:
            ProcessError: If it exits before that or is not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not await self.is_ready():
            if not self.is_running or time.monotonic() > deadline:
                raise ProcessError(
                    f'{self.vm} did not become ready; see {self.log_path}'
                )
            await asyncio.sleep(READY_POLL_SECONDS)
