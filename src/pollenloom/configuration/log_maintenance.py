"""Appends states to the log again before the platform trims them."""

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
from pollenloom.configuration.maintenance_role import MaintenanceRole
from pollenloom.configuration.maintenance_schedule import MaintenanceSchedule
from pollenloom.configuration.register_barrier import RegisterBarrier
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
MAINTENANCE_INTERVAL_SECONDS = 0.5
# A new reader of a trimmed log waits this long for another router to append
# a snapshot.
SNAPSHOT_WAIT_SECONDS = 5.0


class LogMaintenance:
    """Keeps the configuration and the data centre states in the log.

    It appends states that are missing from the log or will soon be trimmed.
    All routers run it, but only the first log reader of the fleet that reaches
    the platform appends.
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
        self.role = MaintenanceRole()
        self.schedule = MaintenanceSchedule()
        self.incomplete_since: float | None = None
        log.subscribe(ConfigurationChange, self.record_configuration)
        log.subscribe(ConfigurationSnapshot, self.record_configuration)
        log.subscribe(DataCentreChange, self.apply_data_centre)
        self.registers.watch(POSITION_PREFIX, self.position_changed)

    def record_configuration(
        self,
        offset: Offset,
        appended_at: float,
        entry: ConfigurationChange | ConfigurationSnapshot,
    ) -> None:
        """Record when a configuration was appended to the log."""
        self.schedule.record_appended(state_name(entry), appended_at)
        if isinstance(entry, ConfigurationSnapshot):
            for change in entry.data_centres:
                self.apply_data_centre(offset, appended_at, change)

    def apply_data_centre(
        self,
        offset: Offset,
        appended_at: float,
        entry: DataCentreChange,
    ) -> None:
        """Write a data centre state to its register unless that is newer."""
        self.schedule.record_appended(state_name(entry), appended_at)
        self.barrier.put(make_key(entry.data_centre), make_register(entry))

    def position_changed(self, key: str, register: RegisterValue) -> None:
        """Record that a log reader has reached the platform."""
        try:
            position = decode_position(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.role.record_report(
            DataCentreId(key.removeprefix(POSITION_PREFIX)),
            position.reader,
            self.clock.monotonic(),
        )

    async def follow(self) -> None:
        """Append the states that are due until the task is cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = self.clock.monotonic()
            if not self.log.caught_up or not self.follower.is_idle:
                continue
            self.barrier.open()
            if not self.follower.history.complete:
                self.wait_for_snapshot(now)
            elif self.is_responsible(now):
                await self.append_due_states(now)

    def wait_for_snapshot(self, now: float) -> None:
        """Stop waiting for a snapshot after `SNAPSHOT_WAIT_SECONDS`."""
        if self.incomplete_since is None:
            self.incomplete_since = now
        if now - self.incomplete_since >= SNAPSHOT_WAIT_SECONDS:
            self.incomplete_since = None
            self.follower.enqueue_pending_decisions()

    def is_responsible(self, now: float) -> bool:
        """Whether this VM currently appends on behalf of the fleet.

        Also resets the wait for a snapshot, which is over by then.
        """
        self.incomplete_since = None
        return self.role.is_responsible(
            self.membership.local_member.vm,
            self.membership.live(),
            now,
        )

    async def append_due_states(self, now: float) -> None:
        """Append the states that are due."""
        retention = self.log.retention_seconds
        if retention is None:
            return
        wall_time = self.clock.wall()
        names = []
        for entry in self.required_states():
            name = state_name(entry)
            names.append(name)
            if self.schedule.is_due(
                name, retention, now=now, wall_time=wall_time
            ):
                await self.append(name, entry, now)
        self.schedule.remove_superseded(names, wall_time - retention)

    def required_states(self) -> Iterator[LogEntry]:
        """Return the states that the log must contain."""
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
        """Return the data centre states in the registers."""
        for key in self.registers.keys(DATA_CENTRE_PREFIX):
            register = self.registers.get(key)
            if register is None:
                continue
            try:
                yield read_register(key, register)
            except ValueError as error:
                logging.warning('register_unreadable %s %s', key, error)

    async def append(self, name: str, entry: LogEntry, now: float) -> None:
        """Append one state and record the result as an event."""
        self.schedule.record_attempt(name, now)
        result = await self.platform.append(encode_entry(entry))
        self.events.record(
            'state_appended' if result.is_ok() else 'state_append_failed',
            name,
            detail='' if result.is_ok() else result.error.detail,
        )


def state_name(entry: LogEntry) -> str:
    """Return a name that identifies a state and its version.

    Raises:
        TypeError: If records of this type hold no state.
    """
    if isinstance(entry, ConfigurationChange | ConfigurationSnapshot):
        return f'configuration/{entry.publish_id}'
    if isinstance(entry, DataCentreChange):
        version = f'{entry.counter}/{entry.origin}'
        return f'{DATA_CENTRE_PREFIX}{entry.data_centre}/{version}'
    raise TypeError(f'records of type {type(entry).__name__} hold no state')
