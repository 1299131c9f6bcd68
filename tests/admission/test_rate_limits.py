"""Limits that servers name, as one router knows them."""

from dataclasses import replace
from typing import Any

import pytest

from pollenloom.admission.rate_limits import MIN_RATE, USED_SHARE
from pollenloom.core.ids import ServerId
from pollenloom.routing.fleet_facts import LIMIT_SECONDS
from pollenloom.routing.service_load import ServiceLoad, add_loads
from tests.admission.local_fleet import SERVICE, LocalFleet
from tests.admission.simulated_loop import simulate

SERVER = ServerId('i-0')
LIMIT = 6.0


def run_with_fleet(scenario: Any) -> Any:
    """Run a scenario with a fleet of two routers in simulated time."""

    async def run() -> Any:
        """Start the fleet, run the scenario, and stop the fleet."""
        fleet = LocalFleet(routers=2, engines=1, slots=4)
        await fleet.start()
        outcome = scenario(fleet)
        await fleet.stop()
        return outcome

    return simulate(run())


def observe(fleet: LocalFleet, rate: float | None) -> None:
    """Let the first router read a response."""
    known = fleet.catalogue.directory.servers[SERVER]
    fleet.admissions[0].rate_limits.observe(known, rate)


def quota(fleet: LocalFleet, demand: float = 1) -> float | None:
    """Return the rate at which the first router may send."""
    limits = fleet.admissions[0].rate_limits
    known = fleet.catalogue.directory.servers[SERVER]
    now = fleet.admissions[0].kernel.clock.monotonic()
    found = limits.quotas(SERVICE, demand, now)(known)
    return None if found is None else found.rate


def test_newest_response_counts() -> None:
    """Guards against a limit that stays when the server no longer names it."""

    def scenario(fleet: LocalFleet) -> list[float | None]:
        """Name a limit, change it and end it."""
        found = [quota(fleet)]
        for rate in (LIMIT, 2 * LIMIT, None):
            observe(fleet, rate)
            found.append(quota(fleet))
        return found

    part = LIMIT * USED_SHARE / 2
    assert run_with_fleet(scenario) == pytest.approx(
        [None, part, 2 * part, None]
    )


def test_part_follows_the_demand() -> None:
    """Guards against equal parts, most of which routers without requests waste.

    Reports say that another router gets three times as many requests.
    """

    def scenario(fleet: LocalFleet) -> float | None:
        """Name a limit while another router reports its demand."""
        observe(fleet, LIMIT)
        fleet.exchanges[0].remote = ServiceLoad(demand={SERVICE: 30})
        return quota(fleet, demand=10)

    assert run_with_fleet(scenario) == pytest.approx(LIMIT * USED_SHARE / 4)


def test_router_that_gets_all_requests_uses_the_whole_limit() -> None:
    """Guards against most of a limit that is left to routers without requests.

    A router whose own report was all of the fleet's demand took the demand of
    the others for unknown, and used an equal part of the limit.
    """

    def scenario(fleet: LocalFleet) -> float | None:
        """Name a limit while only the first router has reported demand."""
        observe(fleet, LIMIT)
        report = ServiceLoad(demand={SERVICE: 10})
        total = add_loads([report, ServiceLoad(demand={SERVICE: 0})])
        fleet.exchanges[0].remote = total.minus(report)
        return quota(fleet, demand=10)

    assert run_with_fleet(scenario) == pytest.approx(LIMIT * USED_SHARE)


def test_server_that_started_again_has_no_limit() -> None:
    """Guards against the limit of a process that has ended."""

    def scenario(fleet: LocalFleet) -> float | None:
        """Start the server again under its id."""
        observe(fleet, LIMIT)
        known = fleet.catalogue.directory.servers[SERVER]
        known.entry = replace(known.entry, started_at=99)
        return quota(fleet)

    assert run_with_fleet(scenario) is None


def test_server_that_takes_nothing_is_tried() -> None:
    """Guards against a limit that never ends, since nothing is sent."""

    def scenario(fleet: LocalFleet) -> float | None:
        """Name a limit of no requests."""
        observe(fleet, 0)
        return quota(fleet)

    assert run_with_fleet(scenario) == pytest.approx(MIN_RATE / 2)


def test_limit_of_a_silent_server_expires() -> None:
    """Guards against a limit that outlives its reason by far."""

    def scenario(fleet: LocalFleet) -> float | None:
        """Let the fact become too old."""
        observe(fleet, LIMIT)
        limits = fleet.admissions[0].rate_limits
        now = fleet.admissions[0].kernel.clock.monotonic()
        limits.facts.drop_expired(now + LIMIT_SECONDS + 1)
        return quota(fleet)

    assert run_with_fleet(scenario) is None
