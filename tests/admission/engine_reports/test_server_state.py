"""Effect of load reports on the limit of a backend server."""

import pytest

from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.server_ramp import ServerRamp, ServerResponse
from pollenloom.admission.server_state import ReportBarrier, ServerState
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.core.states import Outcome

SLOTS = 8
COLD_SLOTS = 2


@pytest.fixture
def state() -> ServerState:
    """A warm server with all slots free."""
    server = BackendServer(
        server=ServerId('s1'),
        service=ServiceId('minutes'),
        data_centre=DataCentreId('enschede'),
        version=VersionId('v1'),
        address='127.0.0.1:1',
        slots=SLOTS,
        cold_slots=COLD_SLOTS,
    )
    state = ServerState(
        server, ServerRamp(SLOTS, COLD_SLOTS), ReportBarrier(set(), 0)
    )
    serve(state, 0, 6)
    assert state.free_slots(1) == SLOTS
    return state


def serve(
    state: ServerState,
    now: float,
    responses: int,
    seconds: float = 0.01,
) -> None:
    response = ServerResponse(
        outcome=Outcome.SERVED,
        granted_at=now,
        first_byte_seconds=seconds,
    )
    for _ in range(responses):
        state.ramp.record(response, now)


def test_reported_cold_start_lowers_the_limit(state: ServerState) -> None:
    """Guards against full load on a server that turned cold unnoticed."""
    state.apply_report(EngineLoadReport(running=0, cold=True), 9.5, 10)
    assert state.free_slots(10) == COLD_SLOTS
    # Up to its cold slots, a cold server responds as fast as a warm one.
    serve(state, 10.1, 6)
    assert state.free_slots(10.2) == COLD_SLOTS
    state.apply_report(EngineLoadReport(running=0), 10.2, 10.3)
    serve(state, 10.4, 6)
    assert state.free_slots(10.5) == SLOTS
    # Describes 10.0, before the responses that showed the server is warm.
    state.apply_report(EngineLoadReport(running=0, cold=True), 10.0, 11)
    assert state.free_slots(11) == SLOTS


def test_uncached_prompts_are_no_cold_start(state: ServerState) -> None:
    """Guards against lost capacity when uncached prompts follow cached ones.

    Cached prompts are fast, so uncached ones look like a cold start.
    """
    serve(state, 2, 2, seconds=0.5)
    assert state.free_slots(2) == COLD_SLOTS
    # From before the limit fell: the server may have turned cold since.
    state.apply_report(EngineLoadReport(running=0), 1.5, 2.5)
    # The limit falls again, after the time of the next report.
    serve(state, 3.2, 8, seconds=0.5)
    assert state.free_slots(3.2) == COLD_SLOTS
    state.apply_report(EngineLoadReport(running=0), 3, 3.5)
    serve(state, 3.6, 8, seconds=0.5)
    assert state.free_slots(3.6) == SLOTS


def test_reported_leaving_ends_grants(state: ServerState) -> None:
    """Guards against requests to a leaving server.

    Guards also against a server that stays blocked after a newer report
    states that it is no longer leaving.
    """
    state.apply_report(EngineLoadReport(running=0, leaving=True), 9.5, 10)
    assert state.free_slots(10) == 0
    state.apply_report(EngineLoadReport(running=0), 9.0, 11)
    assert state.free_slots(11) == 0
    state.apply_report(EngineLoadReport(running=0), 11.5, 12)
    assert state.free_slots(12) == SLOTS


def test_unknown_requests_count(state: ServerState) -> None:
    """Guards against overload by requests of unknown routers."""
    state.add_grant()
    state.add_grant()
    state.apply_report(EngineLoadReport(running=4, waiting=1), 9.5, 10)
    assert state.free_slots(10) == SLOTS - 2 - 3
    # The report still counts requests that have ended since.
    state.in_flight = 0
    state.apply_report(EngineLoadReport(running=2), 10.5, 11)
    assert state.free_slots(11) == SLOTS
    state.apply_report(EngineLoadReport(running=7), 11.5, 12)
    assert state.free_slots(12) < SLOTS
    # Without newer reports the count expires.
    assert state.free_slots(16) == SLOTS


def test_unreachable_failing_server_gets_one_probe(state: ServerState) -> None:
    """Guards against full load on a server that responds to nothing."""
    state.reports.miss()
    state.reports.miss()
    assert state.free_slots(10) == SLOTS
    state.ramp.record(ServerResponse(outcome=Outcome.FAILED, granted_at=10), 10)
    assert state.free_slots(10) == 1
    state.add_grant()
    assert state.free_slots(10) == 0
    state.in_flight = 0
    state.apply_report(EngineLoadReport(running=0), 10, 11)
    assert state.free_slots(11) == SLOTS


def test_lost_fencing_number_clears_predictions(state: ServerState) -> None:
    """Guards against predictions that outlive a restart of the engine."""
    state.prefix_predictor.predict((1,), 1)
    state.apply_report(
        EngineLoadReport(running=0, highest_fencing_number=4), 1, 1
    )
    assert state.prefix_predictor.is_cached(1, 2)
    state.apply_report(EngineLoadReport(running=0), 2, 2)
    assert not state.prefix_predictor.is_cached(1, 2)
