"""Updates of a server's health from the end of a request."""

from pollenloom.admission.settlement import Settlement
from pollenloom.core.states import Outcome
from pollenloom.routing.server_directory import KnownServer, ServerDirectory
from pollenloom.routing.server_health import ServerHealth


def update_server_health(
    settlement: Settlement,
    known: KnownServer,
    health: ServerHealth,
    directory: ServerDirectory,
    now: float,
) -> None:
    """Record in a server's health and entry how a request ended."""
    outcome = settlement.outcome
    if outcome is Outcome.SERVED:
        if health.was_unreachable:
            # The server has probably restarted.
            directory.mark_cold(known, now)
        health.record_response(now, is_good=True)
    elif settlement.server_leaving:
        # The gateway also sets this if another server has taken over the
        # address.
        health.record_unreachable(now)
    elif outcome in {Outcome.FAILED, Outcome.REFUSED}:
        record_failure(settlement, health, now)
    if settlement.server_cold:
        directory.mark_cold(known, now)


def record_failure(
    settlement: Settlement,
    health: ServerHealth,
    now: float,
) -> None:
    """Record a failed response, or an unreachable server if there was none."""
    if settlement.first_byte_seconds is None:
        health.record_unreachable(now)
    else:
        health.record_response(now, is_good=False)
