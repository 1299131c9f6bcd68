"""Current settings, reloaded when their file changes."""

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

# Environment variable in which the platform passes the settings path.
SETTINGS_VARIABLE: Final = 'POLLENLOOM_CONFIG'
# How often the file is checked, since it may change without a signal.
POLL_SECONDS: Final = 2.0


class SettingsHolder(KernelService):
    """Current settings of a router on the users' platform.

    Listening addresses stay as they were at the start; `bounds` follow the
    file. An invalid file leaves the settings unchanged.

    Attributes:
        current: Settings in force.
        loaded_modified_at: Modification time of the loaded file, nanoseconds.
        reload_requested: Set when SIGHUP was received.
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
        self.loaded_modified_at = self.modified_at()
        self.reload_requested = asyncio.Event()

    async def start(self) -> None:
        """Reload the settings on SIGHUP or when the file changes."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        self.kernel.spawn('settings', self.reload_on_change())

    async def stop(self) -> None:
        """Ignore SIGHUP from now on; its default action ends the process."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def modified_at(self) -> int:
        """Return the modification time in nanoseconds; 0 without a file."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            logging.warning('settings_not_found %s', error)
            return 0

    async def reload_on_change(self) -> None:
        """Reload the file after a signal or a change, until cancelled."""
        while True:
            is_signal = await self.wait_for_signal()
            modified_at = self.modified_at()
            if is_signal or modified_at != self.loaded_modified_at:
                self.loaded_modified_at = modified_at
                self.reload()

    async def wait_for_signal(self) -> bool:
        """Wait up to `POLL_SECONDS` for a signal; return whether it came."""
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await self.reload_requested.wait()
        except TimeoutError:
            return False
        self.reload_requested.clear()
        return True

    def reload(self) -> None:
        """Replace the settings by those of the file if they are valid."""
        checked = load_node_settings(self.path)
        detail = 'no change'
        if checked.model is None:
            detail = '; '.join(entry.render() for entry in checked.problems)
        elif checked.model != self.current:
            self.current = checked.model
            detail = '; '.join(('new settings', *checked.warnings))
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
