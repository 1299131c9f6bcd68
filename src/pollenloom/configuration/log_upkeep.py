"""Keeps the configuration and the data centre states in the log."""

import asyncio
from collections.abc import Iterator

import msgspec
from absl import logging

from pollenloom.configuration.change_follower import ChangeFollower
from pollenloom.configuration.data_centre_register import (
    DATA_CENTRE_PREFIX,
    make_key,
    make_register,
    read_register,
)
from pollenloom.configuration.log_entries import (
    ConfigurationChange,
    ConfigurationSnapshot,
    DataCentreChange,
)
from pollenloom.configuration.register_barrier import RegisterBarrier
from pollenloom.configuration.upkeep_duty import UpkeepDuty
from pollenloom.configuration.upkeep_schedule import UpkeepSchedule
from pollenloom.core.ids import DataCentreId, Offset
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_entry import LogEntry, encode_entry
from pollenloom.log_service.log_position import decode_position
from pollenloom.log_service.log_tail import LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.observability.event_log import EventLog

POSITION_PREFIX = 'log_position/'
UPKEEP_SECONDS = 0.5
# Time in which another router may append the snapshot that a new reader of
# a trimmed log waits for.
SETTLE_SECONDS = 5.0


class LogUpkeep:
    """Appends what is missing from the log or will soon be trimmed.

    All routers watch; only the first reader of the fleet that reaches the
    platform appends.
    """

    def __init__(
        self,
        kernel: Kernel,
        follower: ChangeFollower,
        log: LogTail,
        barrier: RegisterBarrier,
    ) -> None:
        self.clock = kernel.clock
        self.follower = follower
        self.log = log
        self.barrier = barrier
        self.registers = barrier.registers
        self.platform = kernel.find(
            KernelServiceName.PLATFORM,
            Platform,
        )
        self.membership = kernel.find(
            KernelServiceName.MEMBERSHIP,
            Membership,
        )
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.duty = UpkeepDuty()
        self.schedule = UpkeepSchedule()
        self.incomplete_since: float | None = None
        log.subscribe(ConfigurationChange, self.take_configuration)
        log.subscribe(ConfigurationSnapshot, self.take_configuration)
        log.subscribe(DataCentreChange, self.take_data_centre)
        self.registers.watch(POSITION_PREFIX, self.position_changed)

    def take_configuration(
        self,
        offset: Offset,
        appended_at: float,
        entry: ConfigurationChange | ConfigurationSnapshot,
    ) -> None:
        """Note a record of a configuration."""
        self.schedule.note_record(name_state(entry), appended_at)
        if isinstance(entry, ConfigurationSnapshot):
            for change in entry.data_centres:
                self.take_data_centre(offset, appended_at, change)

    def take_data_centre(
        self,
        offset: Offset,
        appended_at: float,
        entry: DataCentreChange,
    ) -> None:
        """Put a state of the log into its register unless that is newer."""
        self.schedule.note_record(name_state(entry), appended_at)
        self.barrier.put(make_key(entry.data_centre), make_register(entry))

    def position_changed(self, key: str, register: RegisterValue) -> None:
        """Note which readers reach the platform."""
        try:
            position = decode_position(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.duty.note_report(
            DataCentreId(key.removeprefix(POSITION_PREFIX)),
            position.reader,
            self.clock.monotonic(),
        )

    async def follow(self) -> None:
        """Append due states one after the other."""
        while True:
            await asyncio.sleep(UPKEEP_SECONDS)
            now = self.clock.monotonic()
            if not self.log.caught_up or not self.follower.is_idle:
                continue
            self.barrier.open()
            if not self.follower.history.complete:
                self.wait_for_snapshot(now)
            elif self.is_responsible(now):
                await self.append_due_states(now)

    def wait_for_snapshot(self, now: float) -> None:
        """Go on without a snapshot if the log holds none."""
        if self.incomplete_since is None:
            self.incomplete_since = now
        if now - self.incomplete_since >= SETTLE_SECONDS:
            self.incomplete_since = None
            self.follower.settle()

    def is_responsible(self, now: float) -> bool:
        """Whether this VM is the one that appends."""
        self.incomplete_since = None
        return self.duty.is_responsible(
            self.membership.own.vm,
            self.membership.live(),
            now,
        )

    async def append_due_states(self, now: float) -> None:
        """Append the states that are due."""
        retention = self.log.retention_seconds
        if retention is None:
            return
        wall = self.clock.wall()
        names = []
        for entry in self.current_states():
            name = name_state(entry)
            names.append(name)
            if self.schedule.is_due(name, retention, now=now, wall=wall):
                await self.append(name, entry, now)
        self.schedule.forget(names, wall - retention)

    def current_states(self) -> Iterator[LogEntry]:
        """Return what the log should hold."""
        data_centres = tuple(self.data_centre_states())
        state = self.follower.history.state
        if state.revision:
            yield msgspec.structs.replace(
                state,
                # All records below the position have been applied.
                position=self.log.position,
                data_centres=data_centres,
            )
        yield from data_centres

    def data_centre_states(self) -> Iterator[DataCentreChange]:
        """Return the states in the registers."""
        for key in self.registers.keys(DATA_CENTRE_PREFIX):
            register = self.registers.get(key)
            if register is None:
                continue
            try:
                yield read_register(key, register)
            except ValueError as error:
                logging.warning('register_unreadable %s %s', key, error)

    async def append(self, name: str, entry: LogEntry, now: float) -> None:
        """Append one state."""
        self.schedule.note_attempt(name, now)
        answer = await self.platform.append(encode_entry(entry))
        self.events.record(
            'state_appended' if answer.is_ok() else 'state_append_failed',
            name,
            detail='' if answer.is_ok() else answer.error.detail,
        )


def name_state(entry: LogEntry) -> str:
    """Return a name for a state and its version."""
    if isinstance(entry, ConfigurationChange | ConfigurationSnapshot):
        return f'configuration/{entry.publish_id}'
    if isinstance(entry, DataCentreChange):
        version = f'{entry.counter}/{entry.origin}'
        return f'{DATA_CENTRE_PREFIX}{entry.data_centre}/{version}'
    raise TypeError(f'{type(entry).__name__} is no state')
