"""Service that orders servers while this router holds the duty."""

import asyncio
from typing import ClassVar, Final

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import FencingNumber, ServiceId
from pollenloom.duties.duty import Duty
from pollenloom.duties.duty_calls import DutyCalls
from pollenloom.duties.duty_keeper import DutyKeeper
from pollenloom.duties.duty_proof import DutyProof
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics
from pollenloom.scaling.order_queue import OrderQueue
from pollenloom.scaling.planned_order import PlannedOrder
from pollenloom.scaling.scaling_limits import ScalingLimits
from pollenloom.scaling.scaling_metrics import ScalingMetrics
from pollenloom.scaling.scaling_plan import ScalingPlan
from pollenloom.scaling.service_demand import ServiceDemand, measure_demand

# Load reports come every 0.1 s. Servers boot in seconds, so that demand is
# measured less often, which costs less processor time.
EVALUATE_SECONDS: Final = 0.5
# Part of the fleet that reports have to cover before room counts as idle.
# Routers that stopped stay in the fleet directory for a while.
COMPLETE_SHARE: Final = 0.9


class ServerScaling(KernelService):
    """Orders servers by the demand over the fleet, under a proof of the duty.

    Attributes:
        number: Fencing number under which plans and queue were made; None
            before this router held the duty.
        plans: By service; a new holder begins without any.
        queue: Orders that were not accepted yet.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.SCALING

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.number: FencingNumber | None = None
        self.plans: dict[ServiceId, ScalingPlan] = {}
        self.queue = OrderQueue()

    async def start(self) -> None:
        """Start to evaluate demand."""
        find = self.kernel.find
        self.events = find(KernelServiceName.EVENTS, EventLog)
        self.metrics = ScalingMetrics(
            find(KernelServiceName.METRICS, Metrics).registry
        )
        self.catalogue = find(KernelServiceName.CATALOGUE, Catalogue)
        self.fleet = find(KernelServiceName.FLEET_DIRECTORY, FleetDirectory)
        self.exchange = find(KernelServiceName.LOAD_EXCHANGE, LoadExchange)
        self.duties = find(KernelServiceName.DUTIES, DutyKeeper)
        self.calls = find(KernelServiceName.DUTY_CALLS, DutyCalls)
        self.kernel.spawn('server-scaling', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    async def run(self) -> None:
        """Evaluate demand and send orders periodically."""
        while True:
            await asyncio.sleep(EVALUATE_SECONDS)
            now = self.kernel.clock.monotonic()
            if self.current_proof(now) is not None:
                self.evaluate(now)
                await self.send_orders()

    def current_proof(self, now: float) -> DutyProof | None:
        """Return a valid proof; begin anew under another number.

        Nobody else had the duty in between if the number is still the same.
        """
        proof = self.duties.proof(Duty.SCALING, now)
        if proof is None or proof.valid_until <= now:
            self.metrics.holder_lost()
            return None
        if proof.number != self.number:
            self.number = proof.number
            self.plans = {}
            self.queue = OrderQueue()
        return proof

    def evaluate(self, now: float) -> None:
        """Decide on the number of servers of each service."""
        configuration = self.catalogue.configuration
        if configuration is None:
            return
        scaled = {
            service: profile.scaling
            for service, profile in configuration.services.items()
            if profile.scaling is not None
        }
        for service, limits in scaled.items():
            demand = self.demand(service, now)
            if demand is not None:
                plan = self.plan(service, limits, now)
                for planned in plan.update(demand, now):
                    self.queue.put(planned)

    def plan(
        self, service: ServiceId, limits: ScalingLimits, now: float
    ) -> ScalingPlan:
        """Return the plan of a service; a new one if its bounds changed."""
        plan = self.plans.get(service)
        if plan is None or plan.limits != limits:
            plan = ScalingPlan(service, limits, now)
            self.plans[service] = plan
        return plan

    def demand(self, service: ServiceId, now: float) -> ServiceDemand | None:
        """Return the demand for a service; None before load was reported."""
        load = self.exchange.fleet_load(service, now)
        size = self.fleet.size(now)
        reporting = self.exchange.table.summed_routers
        if size > 1 and not reporting:
            return None
        return measure_demand(
            service,
            load,
            self.catalogue.directory.usable(service, now),
            # Reports of other routers don't count this one.
            is_complete=reporting + 1 >= size * COMPLETE_SHARE,
        )

    async def send_orders(self) -> None:
        """Send the orders that are due, one after the other."""
        while True:
            now = self.kernel.clock.monotonic()
            proof = self.current_proof(now)
            planned = self.queue.due(now)
            if proof is None or planned is None:
                return
            queue = self.queue
            sent = await self.calls.order_servers(proof, planned.order)
            if sent.is_error():
                kind = sent.error.kind.value
                self.metrics.failures.labels(kind).inc()
                queue.failed(planned, sent.error, self.kernel.clock.monotonic())
            else:
                queue.accepted(planned)
                self.record_order(planned, proof)

    def record_order(self, planned: PlannedOrder, proof: DutyProof) -> None:
        """Record an order that the platform accepted."""
        self.metrics.accepted(planned)
        self.events.record(
            EventName.SERVERS_ORDERED,
            planned.order.service,
            data_centre=planned.order.data_centre,
            desired=planned.order.desired,
            before=planned.before,
            wanted=round(planned.wanted, 1),
            cause=planned.cause.value,
            number=proof.number,
        )
