"""The settings in force, read again when their file changes."""

import asyncio
import signal
from pathlib import Path
from typing import ClassVar, Final

from absl import logging

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.settings.node_settings import NodeSettings
from pollenloom.validation.text_file import read_text
from pollenloom.validation.toml_file import CheckedFile, check_text

# Where the users' platform tells the path of the settings.
SETTINGS_VARIABLE: Final = 'POLLENLOOM_CONFIG'
# The file may change without a signal.
LOOK_SECONDS: Final = 2.0


class SettingsHolder(KernelService):
    """Current settings of a node.

    Addresses to listen on stay as they were at the start; bounds follow the
    file. A file that is not valid changes nothing.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.SETTINGS

    def __init__(
        self,
        kernel: Kernel,
        path: Path,
        settings: NodeSettings,
    ) -> None:
        self.kernel = kernel
        self.path = path
        self.current = settings
        self.read_at = self.modified_at()
        self.look = asyncio.Event()

    async def start(self) -> None:
        """Follow the file."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.look.set)
        self.kernel.spawn('settings', self.follow())

    async def stop(self) -> None:
        """Ignore further signals; the default action would end the process."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def modified_at(self) -> int:
        """Return when the file changed, nanoseconds; 0 if there is none."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            logging.warning('settings_not_found %s', error)
            return 0

    async def follow(self) -> None:
        """Read the file again after a signal or a change."""
        while True:
            is_signal = await self.wait()
            modified_at = self.modified_at()
            if is_signal or modified_at != self.read_at:
                self.read_at = modified_at
                self.read()

    async def wait(self) -> bool:
        """Wait for a signal or the next look; return whether it came."""
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await self.look.wait()
        except TimeoutError:
            return False
        self.look.clear()
        return True

    def read(self) -> None:
        """Use the file's settings if they are valid."""
        checked = load_node_settings(self.path)
        detail = 'no change'
        if checked.model is None:
            detail = '; '.join(entry.render() for entry in checked.problems)
        elif checked.model != self.current:
            self.current = checked.model
            detail = 'new settings'
        self.events.record(
            EventName.PROCESS_STATE,
            self.current.vm,
            state='reload',
            detail=detail,
        )


def load_node_settings(path: Path) -> CheckedFile[NodeSettings]:
    """Return the settings of a file, or all problems found in it."""
    text, problem = read_text(path, str(path))
    if problem is not None:
        return CheckedFile(None, (problem,))
    return check_text(NodeSettings, str(path), text)
