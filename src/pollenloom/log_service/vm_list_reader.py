"""Polls the platform's VM list."""

import asyncio

from absl import logging

from pollenloom.log_service.platform import Platform
from pollenloom.log_service.reader_group import ReaderGroup
from pollenloom.log_service.vm_entry import VmList
from pollenloom.log_service.vm_list_codec import (
    VM_LIST_KEY,
    decode_vm_list,
    encode_vm_list,
)
from pollenloom.membership.register_value import RegisterValue

VM_LIST_POLL_SECONDS = 1.0


class VmListReader:
    """Reads the VM list and writes it to its register when it changes.

    Attributes:
        known_list: VM list in the register; None before it is first set.
    """

    def __init__(self, platform: Platform, group: ReaderGroup) -> None:
        self.platform = platform
        self.group = group
        self.known_list: VmList | None = None
        group.registers.watch(VM_LIST_KEY, self.vm_list_changed)

    async def follow(self) -> None:
        """Poll the list while this VM must read the log."""
        while True:
            if self.group.must_read():
                result = await self.platform.list_vms()
                if result.is_ok():
                    self.put_if_changed(result.ok)
            await asyncio.sleep(VM_LIST_POLL_SECONDS)

    def put_if_changed(self, vm_list: VmList) -> None:
        """Write a list to the register if its entries have changed.

        At the target size a list has 1,160 entries, too many to send to the
        fleet every second only because the time of the list has changed.
        """
        if self.known_list is not None and vm_list.vms == self.known_list.vms:
            return
        # Counters are integers, so platform time is converted to milliseconds.
        counter = int(vm_list.as_of * 1000)
        self.group.registers.put(
            VM_LIST_KEY,
            RegisterValue(
                counter, self.group.local_vm, encode_vm_list(vm_list)
            ),
        )

    def vm_list_changed(self, key: str, register: RegisterValue) -> None:
        """Store the list that the fleet has received."""
        if key != VM_LIST_KEY:
            return
        try:
            self.known_list = decode_vm_list(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
