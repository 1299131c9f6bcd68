"""Loads the configuration after a restart of the whole fleet."""

import asyncio

from pollenloom.configuration.configuration_register import (
    CONFIGURATION_KEY,
    encode_snapshot,
)
from pollenloom.configuration.data_centre_register import (
    make_key,
    make_register,
)
from pollenloom.configuration.history_reader import HistoryReader
from pollenloom.log_service.log_tail import LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.membership.registers import Registers

RETRY_SECONDS = 1.0


class StartupLoader:
    """Finds the latest snapshot by searching backwards from the log's end.

    Reading the whole log in order takes about a minute for an hour of orders
    at 200 records a second. If a peer already has a configuration, its register
    arrives sooner and nothing has to be read.
    """

    def __init__(
        self,
        platform: Platform,
        log: LogTail,
        registers: Registers,
    ) -> None:
        self.platform = platform
        self.log = log
        self.registers = registers

    async def run(self) -> None:
        """Read the log until this or another router finds a configuration."""
        while self.registers.get(CONFIGURATION_KEY) is None:
            if self.log.is_reader:
                reader = HistoryReader(self.platform)
                opened = await reader.open()
                if opened.is_ok() and reader.history.complete:
                    self.put_registers(reader)
                    return
            await asyncio.sleep(RETRY_SECONDS)

    def put_registers(self, reader: HistoryReader) -> None:
        """Write the configuration and data centre states to the registers."""
        state = reader.history.state
        if state.revision:
            self.registers.put(CONFIGURATION_KEY, encode_snapshot(state))
        for change in reader.data_centres.values():
            self.registers.put(
                make_key(change.data_centre),
                make_register(change),
            )
