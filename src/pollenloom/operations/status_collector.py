"""Metrics of the present state of one router."""

from collections import Counter
from collections.abc import Iterable, Iterator

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from pollenloom.admission.admission_status import PoolStatus, ServerStatus
from pollenloom.core.states import DataCentreState, MemberState
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_phase import KernelPhase
from pollenloom.operations.move_reader import MoveReader
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.status_reporter import StatusReporter

Sample = tuple[tuple[str, ...], float]
# In earlier phases, the services that report the state have not started.
REPORTING_PHASES = frozenset((KernelPhase.RUNNING, KernelPhase.DRAINING))


class StatusCollector(Collector):
    """Reads the state at each scrape, so that no copy of it is kept.

    Only the owner of a pool reports the pool and its servers, so that there
    is one series for each in the whole fleet.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.dependencies = OperatorDependencies(kernel)
        self.status_reporter = StatusReporter(kernel)
        self.move_reader = MoveReader(kernel)

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return the gauges; none before the services have started."""
        if self.kernel.phase not in REPORTING_PHASES:
            return
        yield from self.router_gauges()
        status = self.status_reporter.admission()
        yield gauge(
            'waiting_requests',
            'Requests that wait on this router.',
            (),
            (((), status.waiting),),
        )
        local_vm = self.dependencies.membership.local_member.vm
        owned_pools = tuple(
            pool for pool in status.pools if pool.owner == local_vm
        )
        yield from pool_gauges(owned_pools)
        yield from server_gauges(owned_pools)

    def router_gauges(self) -> Iterator[GaugeMetricFamily]:
        """Return the gauges of the fleet as this router sees it."""
        configuration = self.dependencies.configuration
        yield gauge(
            'configuration_revision',
            'Revision of the configuration in force.',
            (),
            (((), configuration.current.revision),),
        )
        states = Counter(
            member.state for member in self.dependencies.membership.members()
        )
        yield gauge(
            'members',
            'Routers by the state in which this router sees them.',
            ('state',),
            (((state.value,), states[state]) for state in MemberState),
        )
        yield gauge(
            'data_centre_in_service',
            '1 for a data centre in service, 0 for one taken out.',
            ('data_centre',),
            (
                (
                    (name,),
                    configuration.data_centre_state(name)
                    is DataCentreState.IN_SERVICE,
                )
                for name in self.status_reporter.data_centres()
            ),
        )
        yield gauge(
            'move_stage',
            'Stage of a version move, by its state.',
            ('move', 'service', 'state'),
            (
                (
                    (move.move, move.service, move.state),
                    move.record.get('stage', 0),
                )
                for move in self.move_reader.moves()
            ),
        )


def pool_gauges(pools: tuple[PoolStatus, ...]) -> Iterator[GaugeMetricFamily]:
    """Return the gauges of the pools that this router owns."""
    yield gauge(
        'pool_waiting_requests',
        'Requests of all routers that wait for an owned pool.',
        ('pool',),
        (((pool.pool,), pool.waiting) for pool in pools),
    )
    yield gauge(
        'pool_epoch',
        'Fencing number of an owned pool; grows with each new owner.',
        ('pool',),
        (((pool.pool,), pool.epoch) for pool in pools),
    )


def server_gauges(
    pools: tuple[PoolStatus, ...],
) -> Iterator[GaugeMetricFamily]:
    """Return the gauges of the servers of these pools.

    The name of each gauge is the name of a field of `ServerStatus`.
    """
    for name, help_text in (
        ('in_flight', 'Requests of the whole fleet on a backend server.'),
        ('limit', 'Requests that a backend server may have now.'),
        ('slots', 'Requests that a backend server bears when warm.'),
    ):
        yield gauge(
            f'server_{name}',
            help_text,
            ('server', 'service', 'version'),
            (
                (server_labels(pool, server), getattr(server, name))
                for pool in pools
                for server in pool.servers
            ),
        )


def server_labels(
    pool: PoolStatus,
    server: ServerStatus,
) -> tuple[str, str, str]:
    """Return the values of the labels of a server."""
    return server.server, pool.service, server.version


def gauge(
    name: str,
    help_text: str,
    labels: tuple[str, ...],
    samples: Iterable[Sample],
) -> GaugeMetricFamily:
    """Return a gauge with its samples."""
    family = GaugeMetricFamily(f'pollenloom_{name}', help_text, labels=labels)
    for label_values, number in samples:
        family.add_metric(label_values, number)
    return family
