"""Coordinates the VMs of a data centre that may read the log."""

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
from pollenloom.log_service.reader_role import READER_COUNT, ReaderRole
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers


class ReaderGroup:
    """Ranks the VMs of this data centre and exchanges their log positions."""

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        registers: Registers,
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.registers = registers
        self.local_vm = membership.local_member.vm
        self.data_centre = membership.local_member.data_centre
        self.key = f'log_position/{self.data_centre}'
        self.role = ReaderRole(self.local_vm, clock.monotonic())
        registers.watch(self.key, self.position_changed)

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Create a group with the services of a kernel."""
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
        """Live VMs of the data centre; the first ones are the log readers."""
        return self.membership.ranked(self.key, self.data_centre)

    def readers(self) -> tuple[VmId, ...]:
        """Log readers of the data centre, in order of rank."""
        return self.ranked()[:READER_COUNT]

    def must_read(self) -> bool:
        """Whether this VM must read the log now."""
        return self.role.must_read(self.ranked(), self.clock.monotonic())

    def report(self, position: Offset) -> None:
        """Report to the data centre that this VM has read the log.

        Does nothing if the latest report is recent enough.
        """
        if not self.role.must_report(self.clock.monotonic()):
            return
        current = self.registers.get(self.key)
        payload = encode_position(
            LogPosition(reader=self.local_vm, position=position),
        )
        counter = 1 if current is None else current.counter + 1
        self.registers.put(
            self.key,
            RegisterValue(counter, self.local_vm, payload),
        )

    def position_changed(self, key: str, register: RegisterValue) -> None:
        """Record that a VM of this data centre has read the log."""
        if key != self.key:
            return
        try:
            position = decode_position(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.role.record_report(position.reader, self.clock.monotonic())
