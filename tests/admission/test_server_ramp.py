"""Concurrency limit of one server, and selection between servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.admission.fair_queue import PendingRequest
from pollenloom.admission.messages import SettledGrant
from pollenloom.admission.server_choice import ServerChoice
from pollenloom.admission.server_ramp import ServerRamp, ServerResponse
from pollenloom.admission.server_state import ReportBarrier, ServerState
from pollenloom.admission.version_credit import VersionCredit
from pollenloom.admission.version_shares import UnlimitedShares, VersionShares
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    DataCentreId,
    ServerId,
    ServiceId,
    VersionId,
)
from pollenloom.core.states import Outcome

SERVICE = ServiceId('minutes')
NO_PREFIXES = PendingRequest(waiting_since=0, hint=1)


class FixedShares(VersionShares):
    """Limits version v2 to a tenth of the grants."""

    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        return 0.1 if version == 'v2' else 1

    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        raise NotImplementedError


@pytest.fixture
def ramp() -> ServerRamp:
    return ServerRamp(slots=16, cold_slots=2)


def record_response(
    ramp: ServerRamp,
    now: float,
    outcome: Outcome = Outcome.SERVED,
    first_byte: float | None = 0.05,
    cold: bool = False,
) -> None:
    ramp.record(
        ServerResponse(
            outcome=outcome,
            granted_at=now,
            first_byte_seconds=first_byte,
            server_cold=cold,
        ),
        now,
    )


def warm_up(ramp: ServerRamp) -> float:
    """Record good responses until the limit is `slots`; return the time."""
    for number in range(30):
        record_response(ramp, float(number))
    assert ramp.limit_at(30) == 16
    return 30.0


def make_state(name: str, version: str = 'v1', slots: int = 8) -> ServerState:
    server = BackendServer(
        ServerId(name),
        SERVICE,
        DataCentreId('enschede'),
        VersionId(version),
        '127.0.0.1:1',
        slots,
        slots,
    )
    return ServerState(
        server, ServerRamp(slots, slots), ReportBarrier(set(), 0)
    )


def test_limit_doubles_each_round(ramp: ServerRamp) -> None:
    """Guards against a limit that overloads a cold server by a fast rise."""
    limits = []
    for number in range(16):
        record_response(ramp, float(number))
        limits.append(ramp.limit_at(number))
    assert limits == [2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8, 16, 16, 16]


def test_long_responses_keep_the_limit(ramp: ServerRamp) -> None:
    """Guards against long responses that count as a cold start."""
    now = warm_up(ramp)
    for number in range(20):
        record_response(ramp, now + 60 * number, first_byte=0.06)
    assert ramp.limit_at(now) == 16


def test_late_first_bytes_reduce_the_limit(ramp: ServerRamp) -> None:
    """Guards against full load on a server that has become cold."""
    now = warm_up(ramp)
    for number in range(3):
        record_response(ramp, now + number, first_byte=2)
    assert ramp.limit_at(now + 3) == 2
    for number in range(40):
        record_response(ramp, now + 4 + number)
    assert ramp.limit_at(now + 44) == 16


def test_cold_refusal_reduces_the_limit_at_once(ramp: ServerRamp) -> None:
    """Guards against more load after a server reported that it is cold."""
    now = warm_up(ramp)
    record_response(ramp, now, Outcome.REFUSED, cold=True)
    assert ramp.limit_at(now) == 0
    assert ramp.limit_at(now + 0.2) == 2


def test_single_failure_keeps_the_limit(ramp: ServerRamp) -> None:
    """Guards against one bad request that reduces a server's limit."""
    now = warm_up(ramp)
    record_response(ramp, now, Outcome.FAILED)
    assert ramp.limit_at(now) == 16
    record_response(ramp, now, Outcome.FAILED)
    assert ramp.limit_at(now) == 2


@given(
    st.lists(
        st.tuples(
            st.sampled_from(Outcome),
            st.sampled_from([0.01, 0.05, 1, 9]),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_limit_stays_in_range_and_recovers(
    responses: list[tuple[Outcome, float, bool]],
) -> None:
    """Guards against a limit above the slots, or one that never recovers."""
    ramp = ServerRamp(slots=16, cold_slots=2)
    now: float = 0
    for outcome, first_byte, cold in responses:
        now += 0.5
        record_response(ramp, now, outcome, first_byte, cold)
        assert 0 <= ramp.limit_at(now) <= 16
    now += 2
    assert ramp.limit_at(now) >= 1
    for _ in range(400):
        record_response(ramp, now, first_byte=0.01)
    assert ramp.limit_at(now) == 16


def test_least_relative_load_and_affinity() -> None:
    """Guards against a cached prefix that overloads its server."""
    credit = VersionCredit(SERVICE, UnlimitedShares())
    choice = ServerChoice(credit, affinity=True)
    cached, other = make_state('s1'), make_state('s2')
    cached.prefix_predictor.predict((1, 2), 1)
    pending = PendingRequest(waiting_since=0, hint=1, prefixes=(1, 2))
    cached.in_flight = 3
    assert choice.choose([other, cached], pending, 1) is cached
    assert choice.choose([other, cached], NO_PREFIXES, 1) is other
    cached.in_flight = 5
    assert choice.choose([other, cached], pending, 1) is other
    cached.in_flight = 0
    other.in_flight = 8
    excluded = frozenset((ServerId('s1'),))
    pending_excluding_cached = PendingRequest(
        waiting_since=0, hint=1, excluded=excluded
    )
    assert choice.choose([other, cached], pending_excluding_cached, 1) is None


def test_new_version_stays_within_its_share() -> None:
    """Guards against a new version that gets more than its share."""
    credit = VersionCredit(SERVICE, FixedShares())
    choice = ServerChoice(credit, affinity=False)
    servers = [make_state('s1', 'v1', 100), make_state('s2', 'v2', 100)]
    versions = [known.server.version for known in servers]
    new_version_grants = 0
    for number in range(1, 101):
        chosen = choice.choose(servers, NO_PREFIXES, 1)
        assert chosen is not None
        chosen.in_flight += chosen.server.version == 'v1'
        credit.record_grant(chosen.server.version, versions, 1)
        new_version_grants += chosen.server.version == 'v2'
        assert new_version_grants <= 0.1 * number + 1e-9
    assert new_version_grants == 10
