"""A child process of a fleet, from its start to its exit."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Any, Final

import msgspec

READY_TIMEOUT_SECONDS: Final = 30.0
STOP_TIMEOUT_SECONDS: Final = 45.0


class ProcessError(Exception):
    """A process failed, or did not start or stop in time."""


class ManagedProcess:
    """One process with its output in a file.

    Attributes:
        label: Name in error messages and of the log file.
        arguments: Command and its arguments.
        ready: Decoded JSON line that the process printed once it listened.
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
            ProcessError: If it exits before that or is not ready in time.
        """
        with self.log_path.open('ab') as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, 'UV_USE_IO_URING': '0'},
                # Ctrl-C in a terminal signals the whole process group. A
                # router would get that signal and the SIGTERM of `terminate`,
                # and a router exits at once on the second signal.
                start_new_session=True,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                self.ready = await self.read_ready_line()
        except TimeoutError:
            await self.kill()
            raise ProcessError(f'{self.label} was not ready in time') from None

    async def read_ready_line(self) -> dict[str, Any]:
        """Return the decoded ready line.

        Raises:
            ProcessError: If the process was not started or has exited.
        """
        if self.process is None or self.process.stdout is None:
            raise ProcessError(f'{self.label} was not started')
        line = await self.process.stdout.readline()
        if not line:
            code = await self.process.wait()
            raise ProcessError(
                f'{self.label} exited with code {code}; see {self.log_path}',
            )
        content: dict[str, Any] = msgspec.json.decode(line)
        return content

    async def terminate(self) -> int:
        """Stop the process gracefully and return its exit code.

        Raises:
            ProcessError: If it does not exit in time.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    def freeze(self) -> None:
        """Suspend the process until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the exit and return the code, 0 if never started.

        Raises:
            ProcessError: If it does not exit in time; it is killed then.
        """
        if self.process is None:
            return 0
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise ProcessError(
                f'{self.label} did not stop in time and was killed'
            ) from None
