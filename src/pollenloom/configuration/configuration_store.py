"""Stores the configuration, data centre states and VM list of the registers."""

import asyncio
from collections.abc import Callable

from absl import logging

from pollenloom.configuration.backend_selection import select_servers
from pollenloom.configuration.change_follower import ChangeFollower
from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_register import (
    CONFIGURATION_KEY,
    decode_snapshot,
)
from pollenloom.configuration.configuration_service import (
    ConfigurationService,
)
from pollenloom.configuration.data_centre_register import (
    DATA_CENTRE_PREFIX,
    make_key,
    make_register,
    read_register,
)
from pollenloom.configuration.file_loader import load_accepted_services
from pollenloom.configuration.log_entries import (
    ConfigurationSnapshot,
    DataCentreChange,
)
from pollenloom.configuration.log_maintenance import LogMaintenance
from pollenloom.configuration.register_barrier import RegisterBarrier
from pollenloom.configuration.startup_loader import StartupLoader
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, Revision, ServiceId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_tail import LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.log_service.vm_entry import VmList
from pollenloom.log_service.vm_list_codec import VM_LIST_KEY, decode_vm_list
from pollenloom.membership.membership import Membership
from pollenloom.membership.register_value import RegisterValue
from pollenloom.membership.registers import Registers
from pollenloom.observability.event_log import EventLog


class ConfigurationStore(ConfigurationService):
    """Configuration service that is updated from the registers.

    The log readers copy configuration records from the log to the registers.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.configuration = Configuration(Revision(0), {})
        self.vm_list = VmList(as_of=0, vms=())
        self.data_centre_states: dict[DataCentreId, DataCentreState] = {}
        self.server_cache: dict[ServiceId, tuple[BackendServer, ...]] = {}
        self.listeners: list[Callable[[], None]] = []
        self.newest_register: RegisterValue | None = None
        self.register_changed = asyncio.Event()

    async def start(self) -> None:
        """Watch the registers and start the tasks that follow the log."""
        kernel = self.kernel
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        log = kernel.find(
            KernelServiceName.LOG,
            LogTail,
        )
        self.registers = kernel.find(
            KernelServiceName.REGISTERS,
            Registers,
        )
        self.membership = kernel.find(
            KernelServiceName.MEMBERSHIP,
            Membership,
        )
        platform = kernel.find(
            KernelServiceName.PLATFORM,
            Platform,
        )
        barrier = RegisterBarrier(self.registers)
        self.follower = ChangeFollower(log, barrier, self.events)
        maintenance = LogMaintenance(kernel, self.follower, log, barrier)
        loader = StartupLoader(platform, log, self.registers)
        self.registers.watch(CONFIGURATION_KEY, self.configuration_changed)
        self.registers.watch(DATA_CENTRE_PREFIX, self.data_centre_changed)
        self.registers.watch(VM_LIST_KEY, self.vm_list_changed)
        kernel.spawn('configuration loader', self.follow_register())
        kernel.spawn('configuration changes', self.follower.follow())
        kernel.spawn('log upkeep', maintenance.follow())
        kernel.spawn('configuration at startup', loader.run())

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    @property
    def current(self) -> Configuration:
        """Configuration in force."""
        return self.configuration

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and a VM list have been received."""
        return bool(self.configuration.revision and self.vm_list.as_of)

    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """Backend servers that may receive new requests for a service."""
        cached = self.server_cache.get(service)
        if cached is None:
            cached = self.find_servers(service)
            self.server_cache[service] = cached
        return cached

    def find_servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """Select the servers of a service from the VM list."""
        file = self.configuration.services.get(service)
        if file is None:
            return ()
        out_of_service = {
            data_centre
            for data_centre, state in self.data_centre_states.items()
            if state is DataCentreState.OUT
        }
        return tuple(select_servers(self.vm_list, file, out_of_service))

    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        """State set by the operators."""
        return self.data_centre_states.get(
            data_centre, DataCentreState.IN_SERVICE
        )

    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        """Set a state on all routers, even while the platform is down.

        Increments the counter even if the state is the same, so that this
        command supersedes an earlier one that was sent to another router.
        """
        key = make_key(data_centre)
        current = self.registers.get(key)
        change = DataCentreChange(
            data_centre=data_centre,
            state=state,
            counter=1 if current is None else current.counter + 1,
            origin=self.membership.local_member.vm,
        )
        self.registers.put(key, make_register(change))

    def watch(self, listener: Callable[[], None]) -> None:
        """Call `listener` after changes of configuration, states or servers."""
        self.listeners.append(listener)

    def notify_listeners(self) -> None:
        """Clear the server cache and call the listeners."""
        self.server_cache.clear()
        for listener in tuple(self.listeners):
            try:
                listener()
            except Exception:
                # An exception of one listener must not stop the others.
                logging.exception('configuration_listener_failed')

    def data_centre_changed(self, key: str, register: RegisterValue) -> None:
        """Apply a data centre state from its register."""
        try:
            change = read_register(key, register)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.data_centre_states[change.data_centre] = change.state
        self.events.record(
            'data_centre_state_changed',
            change.data_centre,
            state=change.state.value,
            counter=change.counter,
            origin=change.origin,
        )
        self.notify_listeners()

    def vm_list_changed(self, key: str, register: RegisterValue) -> None:
        """Apply the VM list from its register."""
        if key != VM_LIST_KEY:
            return
        try:
            self.vm_list = decode_vm_list(register.payload)
        except ValueError as error:
            logging.warning('register_unreadable %s %s', key, error)
            return
        self.membership.add_addresses(self.vm_list.vms)
        self.notify_listeners()

    def configuration_changed(self, key: str, register: RegisterValue) -> None:
        """Wake `follow_register` if the register holds a newer version."""
        if key == CONFIGURATION_KEY and register.supersedes(
            self.newest_register
        ):
            self.newest_register = register
            self.register_changed.set()

    async def follow_register(self) -> None:
        """Load each new configuration in a thread and put it in force."""
        while True:
            await self.register_changed.wait()
            self.register_changed.clear()
            if self.newest_register is None:
                continue
            try:
                snapshot, configuration = await asyncio.to_thread(
                    load_register,
                    self.newest_register,
                )
            except ValueError as error:
                logging.warning('register_unreadable configuration %s', error)
                continue
            self.follower.enqueue_snapshot(snapshot)
            self.put_in_force(configuration)

    def put_in_force(self, configuration: Configuration) -> None:
        """Replace the configuration unless the new revision is lower."""
        if configuration.revision < self.configuration.revision:
            return
        self.configuration = configuration
        self.events.record(
            'configuration_in_force',
            configuration.publish_id,
            revision=configuration.revision,
            publisher=configuration.publisher,
        )
        self.notify_listeners()


def load_register(
    register: RegisterValue,
) -> tuple[ConfigurationSnapshot, Configuration]:
    """Return the snapshot of a register and the services in it.

    Raises:
        ValueError: If the payload is not a valid snapshot.
    """
    snapshot = decode_snapshot(register)
    configuration = Configuration(
        revision=snapshot.revision,
        services=load_accepted_services(snapshot.files),
        publish_id=snapshot.publish_id,
        publisher=snapshot.publisher,
    )
    return snapshot, configuration
