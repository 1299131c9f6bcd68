"""What the end of a request tells of its server."""

from pollenloom.admission.settlement import Settlement
from pollenloom.core.states import Outcome
from pollenloom.routing.server_directory import KnownServer, ServerDirectory
from pollenloom.routing.server_health import ServerHealth


def judge_server(
    settlement: Settlement,
    known: KnownServer,
    health: ServerHealth,
    directory: ServerDirectory,
    now: float,
) -> None:
    """Note how a server answered."""
    outcome = settlement.outcome
    if outcome is Outcome.SERVED:
        if health.was_unreachable:
            # It was probably started again.
            directory.mark_cold(known, now)
        health.answered(now, is_good=True)
    elif settlement.server_leaving:
        # Another server has taken over the address.
        health.unreachable(now)
    elif outcome in {Outcome.FAILED, Outcome.REFUSED}:
        record_failure(settlement, health, now)
    if settlement.server_cold:
        directory.mark_cold(known, now)


def record_failure(
    settlement: Settlement,
    health: ServerHealth,
    now: float,
) -> None:
    """Tell a server that answers badly from one that is not there."""
    if settlement.first_byte_seconds is None:
        health.unreachable(now)
    else:
        health.answered(now, is_good=False)
