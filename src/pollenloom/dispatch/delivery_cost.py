"""Cost of an attempt, for the settlement of its grant."""

from http import HTTPStatus

from pollenloom.core.states import Outcome, Resource
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.delivery import Delivery
from pollenloom.dispatch.grant_use import GrantUse
from pollenloom.dispatch.token_usage import read_stream_usage, read_usage


def served_cost(
    delivery: Delivery,
    use: GrantUse,
    response: BackendResponse,
) -> float:
    """Return the cost of a served attempt, in the unit of the resource.

    The reported usage covers a resumed stream completely, so the events that
    earlier attempts were charged for are subtracted.
    """
    if delivery.request.resource is Resource.APPLICATION:
        return delivery.request.cost_hint
    if response.status >= HTTPStatus.BAD_REQUEST:
        return 0
    if delivery.relay is None or response.body:
        usage = read_usage(response.body)
        return use.grant.charged if usage is None else usage.cost()
    events = delivery.relayed_events - use.events_before
    usage = read_stream_usage(delivery.relay.recent)
    if usage is None:
        return events
    return max(usage.cost() - use.events_before, 0)


def unserved_cost(delivery: Delivery, use: GrantUse) -> float:
    """Return the cost of an attempt that was refused, failed or cancelled.

    A cancelled request without a stream is charged its estimated cost, because
    the server worked on it and disconnecting early must not be free.
    """
    if not use.connected or use.outcome is Outcome.REFUSED:
        return 0
    if delivery.request.resource is Resource.APPLICATION:
        return delivery.request.cost_hint
    if delivery.relay is not None:
        return delivery.relayed_events - use.events_before
    return use.grant.charged if use.outcome is Outcome.CANCELLED else 0
