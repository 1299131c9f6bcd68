"""Authorisation of requests, retry budgets and tickets."""

from types import SimpleNamespace
from typing import Any

import pytest

from pollenloom.core.ids import AccountId, Revision, RouteId, ServiceId
from pollenloom.gateway.call_factory import (
    CallFactory,
    make_ticket,
    pick_service,
)
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.routing.request_metadata import PromptPart, RequestMetadata
from pollenloom.routing.route import Route, WeightedService
from pollenloom.routing.route_kind import RouteKind
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.settings.node_settings import BoundSettings

NOW = 50.0
ROUTERS = 10
OLD = ServiceId('old')
NEW = ServiceId('new')


def make_route(**changes: Any) -> Route:
    """Return a route that splits requests between two services."""
    fields: dict[str, Any] = {
        'route': RouteId('r'),
        'host': 'shop.example',
        'prefix': '/a/',
        'kind': RouteKind.IDEMPOTENT,
        'services': (WeightedService(OLD, 90), WeightedService(NEW, 10)),
        'timeout': 2,
        'objective': 0.4,
        'max_attempts': 2,
        'is_public': False,
        'is_resumable': False,
        **changes,
    }
    return Route(**fields)


@pytest.fixture
def call_factory() -> CallFactory:
    """A call factory of one of ten routers, with one route."""
    configuration = RoutingConfiguration(
        revision=Revision(3),
        routes={
            'shop.example': (make_route(services=(WeightedService(OLD, 1),)),)
        },
        services={},
        accounts={'k': AccountId('shop')},
    )
    services: Any = SimpleNamespace(
        current=SimpleNamespace(bounds=BoundSettings(retry_reserve=50)),
        configuration=configuration,
        is_complete=True,
        size=lambda _now: ROUTERS,
    )
    return CallFactory(services, services, services)


def make_request(path: bytes = b'/a/b') -> RawRequest:
    """Return a request that was received at `NOW`."""
    headers = ((b'host', b'shop.example'),)
    return RawRequest(b'GET', path, headers, b'', NOW, keeps_alive=True)


def test_shorter_timeout_applies(call_factory: CallFactory) -> None:
    """Guards against work that continues after the caller's timeout."""
    long_timeout = RequestMetadata('a1', 'k', 30)
    short_timeout = RequestMetadata('a2', 'k', 0.5)
    assert (
        call_factory.prepare(make_request(), long_timeout, NOW).ok.deadline
        == NOW + 2
    )
    deadline = call_factory.prepare(
        make_request(), short_timeout, NOW
    ).ok.deadline
    assert deadline == pytest.approx(NOW + 0.5)


def test_retries_of_all_routers_stay_in_the_budget(
    call_factory: CallFactory,
) -> None:
    """Guards against routers that each spend the fleet's whole reserve."""
    call = call_factory.prepare(
        make_request(), RequestMetadata('a1', 'k', 1), NOW
    ).ok
    retry_count = 0
    while call.has_retry_budget(NOW):
        call_factory.retry_budget(call.service, NOW).take(NOW)
        retry_count += 1
    assert 1 <= retry_count * ROUTERS <= 50 + ROUTERS * 0.2


def test_requests_are_split_by_weight() -> None:
    """Guards against a new service that receives more than its share.

    The same request id must always get the same service.
    """
    route = make_route()
    chosen = [pick_service(route, f'a{number}') for number in range(2000)]
    assert 130 < chosen.count(NEW) < 270
    assert pick_service(route, 'a1') is pick_service(route, 'a1')


def test_ticket_has_prefix_and_cost_of_a_prompt(
    call_factory: CallFactory,
) -> None:
    """Guards against lost prefix affinity of sessions.

    A ticket without the hash and length of the shared prefix cannot be sent to
    the server that has the prefix in its cache.
    """
    parts = (PromptPart('x', 100), PromptPart('y', 400), PromptPart('z', 50))
    metadata = RequestMetadata('a1', 'k', 1, 550, 20, parts)
    call = call_factory.prepare(make_request(), metadata, NOW).ok
    ticket = make_ticket(call)
    assert ticket.shared_tokens == 500
    assert len(ticket.prefix_hashes) == 1
    assert ticket.cost_hint == 590
