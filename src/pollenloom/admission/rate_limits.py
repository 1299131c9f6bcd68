"""Limits on requests that backend servers have named, and parts of them."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.named_limit import NamedLimit
from pollenloom.routing.rate_bucket import RateQuota
from pollenloom.routing.router_phase import router_phase
from pollenloom.routing.server_directory import KnownServer

# Part of a limit that the routers share out: their parts come from reports of
# different times, and a part may be used twice when a router starts again.
USED_SHARE: Final = 0.9
# Each answer repeats the limit; others learn of an unchanged one this often.
REFRESH_SECONDS: Final = 0.5
# At least so many requests a second are tried, since a server that gets none
# cannot say that its limit has ended.
MIN_RATE: Final = 0.2

QuotaLookup = Callable[[KnownServer], RateQuota | None]


class RateLimits:
    """Named limits, known to all routers, and this router's part of them.

    A router's part is its part of the requests for the service that are within
    the shares of their accounts: most routers of a fleet may get few, and equal
    parts would waste most of a limit of a few requests a second.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.clock = kernel.clock
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.exchange = kernel.find(
            KernelServiceName.LOAD_EXCHANGE, LoadExchange
        )
        self.fleet_directory = kernel.find(
            KernelServiceName.FLEET_DIRECTORY, FleetDirectory
        )
        self.facts = kernel.find(
            KernelServiceName.FACT_EXCHANGE, FactExchange
        ).facts

    def observe(self, known: KnownServer, rate: float | None) -> None:
        """Record the limit in a response; None if it names none."""
        server = known.entry.server
        now = self.clock.monotonic()
        before = self.rate(known)
        age = now - self.facts.limits.observed_at(server)
        is_known = rate is None or age < REFRESH_SECONDS
        if rate == before and is_known:
            return
        limit = NamedLimit(server, known.entry.started_at, rate)
        self.facts.limits.put(self.facts.make_fact(server, limit, now), now)
        if rate != before:
            self.events.record(
                EventName.SERVER_LIMITED, server, rate=rate, before=before
            )

    def rate(self, known: KnownServer) -> float | None:
        """Return the limit of a server, unless it has started again since."""
        fact = self.facts.limits.facts.get(known.entry.server)
        if fact is None or fact.content.started_at != known.entry.started_at:
            return None
        return fact.content.rate

    def unlimited(self, servers: Iterable[KnownServer]) -> list[KnownServer]:
        """Return the servers that have named no limit.

        The others have free slots while their limits bind.
        """
        return [known for known in servers if self.rate(known) is None]

    def quotas(
        self, service: ServiceId, demand: float, now: float
    ) -> QuotaLookup:
        """Return a function that gives this router's part of a limit.

        Args:
            service: Service of the servers.
            demand: Requests within their shares that came in here lately.
            now: Monotonic seconds.
        """
        return partial(self.quota, self.share(service, demand, now))

    def quota(self, share: float, known: KnownServer) -> RateQuota | None:
        """Return a share of the limit of a server; None without a limit."""
        rate = self.rate(known)
        if rate is None:
            return None
        return RateQuota(
            max(rate * USED_SHARE, MIN_RATE) * share,
            router_phase(self.exchange.vm, known.entry.server),
        )

    def share(self, service: ServiceId, demand: float, now: float) -> float:
        """Return this router's part of the fleet's requests, 0 to 1.

        Without reports of others, the parts are equal.
        """
        remote = self.exchange.remote_load(service, now)
        others = remote.demand.get(service)
        if others is None:
            return 1 / self.fleet_directory.size(now)
        return demand / max(1, demand + others)
