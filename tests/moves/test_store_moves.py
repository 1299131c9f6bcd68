"""Tests of version moves that operators order through the store."""

from pathlib import Path

import pytest

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.console.node_process import make_services
from pollenloom.core.ids import Offset, RouteId, ServiceId, VersionId, VmId
from pollenloom.core.states import Outcome
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.moves.response_report import ResponseReport
from pollenloom.moves.store_moves import StoreMoves, writer_rank
from pollenloom.routing.fleet_router import FleetRouter
from tests.fakes.router_fixtures import make_settings

SERVICE = ServiceId('app')
NEW = VersionId('v2')
ROUTERS = tuple(f'vm-{number}' for number in range(9))


@pytest.fixture
async def moves(tmp_path: Path) -> StoreMoves:
    """Moves of a router that is not connected to a store."""
    kernel = Kernel()
    settings = make_settings('edge-1')
    for service in make_services(kernel, tmp_path, settings):
        kernel.register(service)
    store_moves = kernel.find(KernelServiceName.MOVES, StoreMoves)
    await store_moves.start()
    return store_moves


def order(moves: StoreMoves) -> None:
    """Order the move to the new version."""
    catalogue = moves.kernel.find(KernelServiceName.CATALOGUE, Catalogue)
    catalogue.move_orders[SERVICE] = MoveOrder(SERVICE, NEW, 20, Offset(0))
    moves.begin(SERVICE, catalogue.move_orders[SERVICE], NEW)


def fail(moves: StoreMoves) -> None:
    """Record a failed response of the new version."""
    moves.record_response(
        ResponseReport(
            service=SERVICE,
            route=RouteId('r'),
            version=NEW,
            outcome=Outcome.FAILED,
            cost=1,
            first_byte_seconds=None,
            duration_seconds=None,
        )
    )


async def test_reported_counts_do_not_change_later(moves: StoreMoves) -> None:
    """Guards against sums from which newer local counts are subtracted."""
    order(moves)
    fail(moves)
    reported = moves.responses(SERVICE)
    fail(moves)
    assert sum(reported.values()) == 1
    assert sum(moves.responses(SERVICE).values()) == 2
    await moves.kernel.stop()


async def test_withdrawn_move_is_not_evaluated(moves: StoreMoves) -> None:
    """Guards against an evaluation that ends with a withdrawn order."""
    order(moves)
    catalogue = moves.kernel.find(KernelServiceName.CATALOGUE, Catalogue)
    catalogue.move_orders.clear()
    moves.apply_orders()
    await moves.evaluate(SERVICE)
    assert moves.share(SERVICE, NEW) == 1
    await moves.kernel.stop()


async def test_new_version_gets_nothing_before_states_are_read(
    moves: StoreMoves,
) -> None:
    """Guards against a restarted router that uses a version found bad."""
    order(moves)
    assert not moves.share(SERVICE, NEW)
    assert moves.share(SERVICE, VersionId('v1')) == 1
    await moves.kernel.stop()


def test_routers_take_turns_to_write() -> None:
    """Guards against a state that nobody writes when one router is lost."""
    fleet = [
        FleetRouter(VmId(vm), make_settings(vm).data_centre, ('h', 1), 1)
        for vm in ROUTERS
    ]
    ranks = {writer_rank(SERVICE, router.vm, fleet) for router in fleet}
    assert ranks == set(range(len(ROUTERS)))
