"""A process of a fleet, started and stopped by its id."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Any, Final

import msgspec

READY_TIMEOUT_SECONDS: Final = 30.0
STOP_TIMEOUT_SECONDS: Final = 45.0


class ProcessError(Exception):
    """A process ended or did not become ready."""


class ManagedProcess:
    """One process with its output in a file.

    Attributes:
        label: Name for messages and for the log file.
        arguments: Command and its arguments.
        ready: Content of the line that the process printed when it listened.
    """

    def __init__(
        self,
        label: str,
        arguments: tuple[str, ...],
        log_directory: Path,
    ) -> None:
        self.label = label
        self.arguments = arguments
        self.log_path = log_directory / f'{label}.log'
        self.ready: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id.

        Raises:
            ProcessError: If it was not started.
        """
        if self.process is None:
            raise ProcessError(f'{self.label} was not started')
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process and wait for its ready line.

        Raises:
            ProcessError: If it ends before or takes too long.
        """
        with self.log_path.open('ab') as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, 'UV_USE_IO_URING': '0'},
                # Ctrl-C in a terminal goes to the whole process group. A
                # router would get it besides the SIGTERM of `terminate` and
                # take that for the second signal, which ends it at once.
                start_new_session=True,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                self.ready = await self.read_ready_line()
        except TimeoutError:
            await self.kill()
            raise ProcessError(f'{self.label} was not ready in time') from None

    async def read_ready_line(self) -> dict[str, Any]:
        """Return the content of the ready line."""
        if self.process is None or self.process.stdout is None:
            raise ProcessError(f'{self.label} was not started')
        line = await self.process.stdout.readline()
        if not line:
            code = await self.process.wait()
            raise ProcessError(
                f'{self.label} ended with code {code}; see {self.log_path}',
            )
        content: dict[str, Any] = msgspec.json.decode(line)
        return content

    async def terminate(self) -> int:
        """Ask for a graceful stop and return the exit code."""
        self.send(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self.wait()

    def freeze(self) -> None:
        """Stop the process until `resume`."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.send(signal.SIGCONT)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end; kill the process if it takes too long."""
        if self.process is None:
            return 0
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise ProcessError(f'{self.label} did not stop') from None
