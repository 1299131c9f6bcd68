"""Authorises requests and resolves their route and service."""

from collections import defaultdict
from typing import Final

import xxhash
from expression import Error, Ok, Result

from pollenloom.admission.ticket import Ticket
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId, RequestId, ServiceId
from pollenloom.core.states import Resource
from pollenloom.dispatch.retry_budget import RetryBudget
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.routing.request_identity import request_identity
from pollenloom.routing.request_metadata import RequestMetadata
from pollenloom.routing.route import Route
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.settings.settings_holder import SettingsHolder

# Share of the fleet's retry budget that routers may spend; the rest is a margin
# because the routers' counts cover slightly different periods.
RETRY_BUDGET_SHARE: Final = 0.8
PUBLIC_ACCOUNT: Final = AccountId('')
HASH_RANGE: Final = 2**64


class CallFactory:
    """Creates calls from requests under the current configuration.

    Attributes:
        retry_budgets: Retry budget of this router for each service.
    """

    def __init__(
        self,
        settings: SettingsHolder,
        catalogue: Catalogue,
        fleet_directory: FleetDirectory,
    ) -> None:
        self.settings = settings
        self.catalogue = catalogue
        self.fleet_directory = fleet_directory
        self.retry_budgets: dict[ServiceId, RetryBudget] = defaultdict(
            RetryBudget
        )

    def prepare(
        self,
        request: RawRequest,
        metadata: RequestMetadata,
        now: float,
    ) -> Result[PendingCall, Failure]:
        """Find the route, account and service of a request.

        Errors:
            NOT_CONFIGURED, UNKNOWN_ROUTE, UNAUTHENTICATED.
        """
        configuration = self.catalogue.configuration
        if configuration is None or not self.catalogue.is_complete:
            failure = Failure(
                ErrorKind.NOT_CONFIGURED, 'configuration not loaded'
            )
            return Error(failure)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            detail = f'{request.host}{request.path}'
            return Error(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
        account = configuration.accounts.get(metadata.api_key)
        if account is None and requires_api_key(route, configuration):
            return Error(Failure(ErrorKind.UNAUTHENTICATED, 'unknown API key'))
        call = self.make_call(request, metadata, route, configuration)
        self.retry_budget(call.service, now).count_request(now)
        return Ok(call)

    def make_call(
        self,
        request: RawRequest,
        metadata: RequestMetadata,
        route: Route,
        configuration: RoutingConfiguration,
    ) -> PendingCall:
        """Return the call for an authorised request."""
        timeout_seconds = route.timeout
        if metadata.timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, metadata.timeout_seconds)
        service = pick_service(route, metadata.request_id)
        account = None
        if not route.is_public:
            account = configuration.accounts.get(metadata.api_key)
        return PendingCall(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            account=account,
            revision=configuration.revision,
            deadline=request.received_at + timeout_seconds,
            identity=request_identity(
                request.target,
                account,
                request.body,
                (part.part_id for part in metadata.parts),
            ),
            has_retry_budget=lambda now: self.retry_budget(
                service, now
            ).has_room(now),
        )

    def retry_budget(self, service: ServiceId, now: float) -> RetryBudget:
        """Return this router's equal share of the fleet's retry budget."""
        bounds = self.settings.current.bounds
        budget = self.retry_budgets[service]
        budget.window_seconds = bounds.retry_window_seconds
        budget.ratio = bounds.retry_ratio * RETRY_BUDGET_SHARE
        reserve = bounds.retry_reserve * RETRY_BUDGET_SHARE
        budget.reserve = int(reserve / self.fleet_directory.size(now))
        return budget


def requires_api_key(route: Route, configuration: RoutingConfiguration) -> bool:
    """Whether requests of a route must carry a known API key."""
    return configuration.requires_keys and not route.is_public


def make_ticket(call: PendingCall) -> Ticket:
    """Return the admission ticket of a call."""
    metadata = call.metadata
    is_model = metadata.prompt_tokens > 0
    prefix: tuple[int, ...] = ()
    if metadata.affinity_key:
        prefix = (xxhash.xxh3_64_intdigest(metadata.affinity_key.encode()),)
    return Ticket(
        request_id=RequestId(metadata.request_id),
        account=call.account or PUBLIC_ACCOUNT,
        service=call.service,
        route=call.route.route,
        resource=Resource.MODEL if is_model else Resource.APPLICATION,
        cost_hint=metadata.cost,
        deadline=call.deadline,
        prefix_hashes=prefix,
        excluded=frozenset(call.failed_servers),
        retry=call.grant_count > 0,
        objective=call.route.objective,
        time_limit=call.deadline - call.request.received_at,
        prompt_tokens=metadata.prompt_tokens,
        shared_tokens=metadata.shared_tokens if prefix else 0,
    )


def pick_service(route: Route, request_id: str) -> ServiceId:
    """Choose a service by weight, always the same for a request id."""
    total = sum(entry.weight for entry in route.services)
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    point = digest / HASH_RANGE * total
    for entry in route.services:
        point -= entry.weight
        if point < 0:
            return entry.service
    return route.services[-1].service
