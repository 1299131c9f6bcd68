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
    """Each router admits by its own part and by counters of the others.

    A router lends itself the slots that the others last reported as idle,
    so that several routers may take the same slot.
    """

    async def start(self) -> None:
        """Exchange counters with the other routers."""
        await super().start()
        self.loads: dict[VmId, dict[ServerId, int]] = {}
        self.scope.subscribe(RouterCounters, self.on_counters)
        self.kernel.spawn('admission-counters', self.run_exchange())

    async def run_exchange(self) -> None:
        """Send the counters to all routers again and again."""
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS)
            others = set(self.scope.membership.live()) - {self.scope.own}
            for service in self.scope.configuration.current.services:
                self.send_counters(service, others)

    def send_counters(self, service: ServiceId, others: set[VmId]) -> None:
        """Send the counters of one service to other routers."""
        message = self.service_counters(service)
        for vm in sorted(others):
            self.scope.send(vm, message)

    def service_counters(self, service: ServiceId) -> RouterCounters:
        """Counters of one service."""
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
        """Charge what another router served and lend its idle slots."""
        served = {entry.account: entry.served for entry in message.accounts}
        totals = self.owners.exchange.totals(message.service)
        router = PoolId(f'router/{sender}')
        totals.merge(router, message.stream, served, self.scope.now())
        self.loads[sender] = {
            entry.server: entry.in_flight for entry in message.servers
        }
        self.borrow(message.service)

    def borrow(self, service: ServiceId) -> None:
        """Raise the limits to the slots that the others leave idle."""
        live = set(self.scope.membership.live())
        for gone in self.loads.keys() - live:
            self.loads.pop(gone)
        entries = self.scope.configuration.servers(service)
        slots = {entry.server: entry.slots for entry in entries}
        for allocator in self.allocators_of(service):
            for state in allocator.servers:
                total = slots.get(state.server.server, state.server.slots)
                self.resize(state, total)
            self.owners.sender.allocate_soon(allocator.pool)

    def resize(self, state: ServerState, slots: int) -> None:
        """Let a server bear the own part, or what the others leave."""
        server = state.server.server
        used = sum(loads.get(server, 0) for loads in self.loads.values())
        usable = max(state.server.slots, slots - used)
        state.ramp.resize(usable, state.server.cold_slots)

    def allocators_of(self, service: ServiceId) -> list[PoolAllocator]:
        """Own allocators of a service."""
        return [
            allocator
            for allocator in self.owners.allocators.values()
            if allocator.service == service
        ]
