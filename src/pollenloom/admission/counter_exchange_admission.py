"""Baseline: independent routers that exchange counters."""

import asyncio

from pollenloom.admission.pool_allocator import PoolAllocator
from pollenloom.admission.router_counters import (
    AccountCounter,
    RouterCounters,
    ServerCounter,
)
from pollenloom.admission.server_state import ServerState
from pollenloom.admission.static_division_admission import (
    StaticDivisionAdmission,
)
from pollenloom.core.ids import PoolId, ServerId, ServiceId, VmId

EXCHANGE_SECONDS = 0.25


class CounterExchangeAdmission(StaticDivisionAdmission):
    """Admits by the local share of slots and the counters of other routers.

    A router borrows the slots that the other routers last reported as idle,
    so several routers may use the same slot.

    Attributes:
        remote_loads: Requests in flight by server, for each other router.
    """

    async def start(self) -> None:
        """Exchange counters with the other routers."""
        await super().start()
        self.remote_loads: dict[VmId, dict[ServerId, int]] = {}
        self.scope.subscribe(RouterCounters, self.on_counters)
        self.kernel.spawn('admission-counters', self.run_exchange())

    async def run_exchange(self) -> None:
        """Send the counters to all other routers periodically."""
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS)
            others = set(self.scope.membership.live()) - {self.scope.local_vm}
            for service in self.scope.configuration.current.services:
                self.send_counters(service, others)

    def send_counters(self, service: ServiceId, others: set[VmId]) -> None:
        """Send the counters of one service to other routers."""
        message = self.service_counters(service)
        for vm in sorted(others):
            self.scope.send(vm, message)

    def service_counters(self, service: ServiceId) -> RouterCounters:
        """Return the local counters of one service."""
        served: dict[str, float] = {}
        servers = []
        for allocator in self.allocators_of(service):
            for state in allocator.servers:
                server = state.server.server
                servers.append(ServerCounter(server, state.in_flight))
            totals = allocator.totals.served_in(allocator.pool)
            for served_account, cost in totals.items():
                before = served.get(served_account, 0)
                served[served_account] = before + cost
        accounts = [
            AccountCounter(account, served.get(account, 0))
            for account in self.scope.shares(service)
        ]
        stream = self.scope.stream
        return RouterCounters(service, stream, tuple(accounts), tuple(servers))

    def on_counters(self, sender: VmId, message: RouterCounters) -> None:
        """Apply the counters of another router and borrow its idle slots."""
        served = {entry.account: entry.served for entry in message.accounts}
        totals = self.owners.exchange.totals(message.service)
        router = PoolId(f'router/{sender}')
        totals.merge(router, message.stream, served, self.scope.now())
        self.remote_loads[sender] = {
            entry.server: entry.in_flight for entry in message.servers
        }
        self.borrow_idle_slots(message.service)

    def borrow_idle_slots(self, service: ServiceId) -> None:
        """Raise the limits by the slots that other routers leave idle."""
        live = set(self.scope.membership.live())
        for unavailable in self.remote_loads.keys() - live:
            self.remote_loads.pop(unavailable)
        entries = self.scope.configuration.servers(service)
        slots = {entry.server: entry.slots for entry in entries}
        for allocator in self.allocators_of(service):
            for state in allocator.servers:
                total = slots.get(state.server.server, state.server.slots)
                self.resize(state, total)
            self.owners.sender.allocate_soon(allocator.pool)

    def resize(self, state: ServerState, slots: int) -> None:
        """Set the limit to the local share or, if larger, to the idle slots."""
        server = state.server.server
        used = sum(loads.get(server, 0) for loads in self.remote_loads.values())
        usable = max(state.server.slots, slots - used)
        state.ramp.resize(usable, state.server.cold_slots)

    def allocators_of(self, service: ServiceId) -> list[PoolAllocator]:
        """Return the local allocators of a service."""
        return [
            allocator
            for allocator in self.owners.allocators.values()
            if allocator.service == service
        ]
