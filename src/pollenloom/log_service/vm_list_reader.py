"""Follows the platform's VM list."""

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

VM_LIST_SECONDS = 1.0


class VmListReader:
    """Reads the VM list and puts it into its register when it changes."""

    def __init__(self, platform: Platform, group: ReaderGroup) -> None:
        self.platform = platform
        self.group = group
        self.known: VmList | None = None
        group.registers.watch(VM_LIST_KEY, self.vm_list_changed)

    async def follow(self) -> None:
        """Read the list while it is this VM's duty."""
        while True:
            if self.group.must_read():
                answer = await self.platform.list_vms()
                if answer.is_ok():
                    self.spread(answer.ok)
            await asyncio.sleep(VM_LIST_SECONDS)

    def spread(self, vm_list: VmList) -> None:
        """Put a list with other content than the known one.

        At the target size a list has 1,160 entries, too much to be spread
        once a second for a new time alone.
        """
        if self.known is not None and vm_list.vms == self.known.vms:
            return
        # Counters are whole numbers: platform time in milliseconds.
        counter = int(vm_list.as_of * 1000)
        self.group.registers.put(
            VM_LIST_KEY,
            RegisterValue(counter, self.group.own, encode_vm_list(vm_list)),
        )

    def vm_list_changed(self, key: str, register: RegisterValue) -> None:
        """Remember the list that the fleet knows."""
        if key != VM_LIST_KEY:
            return
        try:
            self.known = decode_vm_list(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
