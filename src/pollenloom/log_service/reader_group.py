"""The VMs of one data centre that share the reading of the log."""

from typing import Self

from absl import logging

from pollenloom.core.ids import Offset, VmId
from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_position import (
    LogPosition,
    decode_position,
    encode_position,
)
from pollenloom.log_service.reading_duty import READERS, ReadingDuty
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers


class ReaderGroup:
    """Ranks the VMs of this data centre and carries their reports."""

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        registers: Registers,
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.registers = registers
        self.own = membership.own.vm
        self.data_centre = membership.own.data_centre
        self.key = f'log_position/{self.data_centre}'
        self.duty = ReadingDuty(self.own, clock.monotonic())
        registers.watch(self.key, self.position_changed)

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Find the services that it needs."""
        return cls(
            kernel.clock,
            kernel.find(
                KernelServiceName.MEMBERSHIP,
                Membership,
            ),
            kernel.find(
                KernelServiceName.REGISTERS,
                Registers,
            ),
        )

    def ranked(self) -> tuple[VmId, ...]:
        """Live VMs of the data centre in the order in which they read."""
        return self.membership.ranked(self.key, self.data_centre)

    def readers(self) -> tuple[VmId, ...]:
        """The log readers, first one first."""
        return self.ranked()[:READERS]

    def must_read(self) -> bool:
        """Whether this VM reads now."""
        return self.duty.must_read(self.ranked(), self.clock.monotonic())

    def report(self, position: Offset) -> None:
        """Tell the data centre that this VM has read the log."""
        if not self.duty.must_report(self.clock.monotonic()):
            return
        known = self.registers.get(self.key)
        payload = encode_position(
            LogPosition(reader=self.own, position=position),
        )
        counter = 1 if known is None else known.counter + 1
        self.registers.put(
            self.key,
            RegisterValue(counter, self.own, payload),
        )

    def position_changed(self, key: str, register: RegisterValue) -> None:
        """Note that a VM of this data centre has read the log."""
        if key != self.key:
            return
        try:
            position = decode_position(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.duty.note_report(position.reader, self.clock.monotonic())
