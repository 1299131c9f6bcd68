"""Metrics of requests, by service and class of client accounts."""

from contextlib import suppress
from typing import ClassVar, Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from pollenloom.configuration.configuration import Configuration
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.account_classes import AccountClasses

SERVICE: Final = 'service'
BY_ACCOUNT: Final = (SERVICE, 'account_class')
NO_ERROR: Final = 'none'
NO_SERVICE: Final = 'none'

# 0.44 s is a bucket since it is the target for the first token.
SECONDS_BUCKETS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.44,
    1,
    2,
    5,
    10,
    30,
    60,
    300,
)
COST_BUCKETS: Final = (1, 3, 10, 30, 100, 300, 1000, 3000, 10_000, 100_000)


class Metrics(KernelService):
    """Histograms and counters, with a registry for this process."""

    name: ClassVar[KernelServiceName] = KernelServiceName.METRICS

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.classes = AccountClasses()
        self.first_byte_seconds = Histogram(
            'pollenloom_first_byte_seconds',
            'Time from the request to the first byte of its answer.',
            BY_ACCOUNT,
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.duration_seconds = Histogram(
            'pollenloom_duration_seconds',
            'Time from the request to the end of its answer.',
            BY_ACCOUNT,
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.cost = Histogram(
            'pollenloom_cost',
            'Cost of an attempt, in tokens or calls.',
            BY_ACCOUNT,
            buckets=COST_BUCKETS,
            registry=self.registry,
        )
        self.requests = Counter(
            'pollenloom_requests',
            'Requests by the kind of their error.',
            (SERVICE, 'error_kind'),
            registry=self.registry,
        )
        self.retries = Counter(
            'pollenloom_retries',
            'Requests sent again.',
            (SERVICE,),
            registry=self.registry,
        )
        self.waiting_requests = Counter(
            'pollenloom_waiting_requests',
            'Requests that waited late, were told to return, or returned.',
            (SERVICE, 'event'),
            registry=self.registry,
        )
        self.caller_refusals = Counter(
            'pollenloom_caller_refusals',
            'Callers refused for what they sent, by cause.',
            ('cause',),
            registry=self.registry,
        )
        self.caller_held_bytes = Gauge(
            'pollenloom_caller_held_bytes',
            'Memory held for requests of callers, in bytes.',
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            'pollenloom_caller_connections',
            'Open connections of callers.',
            registry=self.registry,
        )
        self.resumed_streams = Counter(
            'pollenloom_resumed_streams',
            'Streams resumed on another backend server.',
            (SERVICE,),
            registry=self.registry,
        )

    @classmethod
    def shared(cls, kernel: Kernel) -> 'Metrics':
        """Return the metrics of the process; register them if missing."""
        if KernelServiceName.METRICS not in kernel.services:
            kernel.register(cls())
        return kernel.find(KernelServiceName.METRICS, cls)

    async def start(self) -> None:
        """Do nothing; metrics can be observed at any time."""

    async def stop(self) -> None:
        """Do nothing; the registry holds no resources."""

    def update_accounts(self, configuration: Configuration) -> None:
        """Update the named accounts from a configuration.

        The series of accounts that are no longer named are removed, so that
        the number of series stays bounded over many configurations.
        """
        for account in self.classes.update(configuration):
            for service in configuration.services:
                self.remove_series(service, account)

    def remove_series(self, service: ServiceId, account: AccountId) -> None:
        """Remove the series of an account in one service."""
        for histogram in (
            self.first_byte_seconds,
            self.duration_seconds,
            self.cost,
        ):
            with suppress(KeyError):
                histogram.remove(service, account)

    def count_request(
        self,
        service: ServiceId | None,
        kind: ErrorKind | None,
    ) -> None:
        """Count a request that ended; `kind` is None if it succeeded.

        `service` is None if the request named no known service.
        """
        self.requests.labels(
            service or NO_SERVICE,
            NO_ERROR if kind is None else kind.value,
        ).inc()

    def observe_response(
        self,
        service: ServiceId,
        account: AccountId,
        first_byte: float,
        duration: float,
    ) -> None:
        """Observe the times of a response, in seconds since the request."""
        account_class = self.classes.class_of(account)
        self.first_byte_seconds.labels(service, account_class).observe(
            first_byte
        )
        self.duration_seconds.labels(service, account_class).observe(duration)

    def observe_cost(
        self,
        service: ServiceId,
        account: AccountId,
        cost: float,
    ) -> None:
        """Observe the cost charged for an attempt, in tokens or calls."""
        account_class = self.classes.class_of(account)
        self.cost.labels(service, account_class).observe(cost)
