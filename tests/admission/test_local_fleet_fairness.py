"""Shares of client accounts over a fleet that decides locally."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from tests.admission.local_fleet import LocalFleet, RequestShape
from tests.admission.request_mix import LARGEST_TOKENS, MIX
from tests.admission.share_windows import ShareWindow, share_windows
from tests.admission.simulated_loop import simulate

ROUTERS = 40
ENGINES = 24
CRASHED_ENGINES = 11
SLOTS = 12
CRASH_SECOND = 5
END_SECOND = 13


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of one account.

    Attributes:
        account: The account.
        per_second: Requests per second.
        routers: Number of routers that its callers reach at first; None for
            all.
        start: Second in which they begin.
    """

    account: str
    per_second: float
    routers: int | None = None
    start: float = 0


async def run_fleet(loads: Iterable[Load]) -> LocalFleet:
    """Run accounts while half of the engines crash."""
    fleet = LocalFleet(ROUTERS, ENGINES, SLOTS)
    await fleet.start()
    for load in loads:
        for shape, part in MIX:
            fleet.spawn(ask(fleet, load, shape, part))
    await asyncio.sleep(CRASH_SECOND)
    fleet.remove_engines(CRASHED_ENGINES)
    await asyncio.sleep(END_SECOND - CRASH_SECOND)
    await fleet.stop()
    return fleet


async def ask(
    fleet: LocalFleet, load: Load, shape: RequestShape, part: float
) -> None:
    """Send the requests of one account and shape from its start on."""
    callers = range(ROUTERS if load.routers is None else load.routers)
    await asyncio.sleep(load.start)
    await fleet.ask(load.account, shape, load.per_second * part, callers)


def broken_windows(fleet: LocalFleet) -> list[ShareWindow]:
    """Return the windows in which an account gets less than its share."""
    windows = share_windows(fleet.seconds, range(1, END_SECOND), LARGEST_TOKENS)
    return [window for window in windows if window.margin < 0]


def test_small_account_is_not_refused_while_others_are_served() -> None:
    """Guards against an account that asks little and is refused all the same.

    In a large fleet one router sends few tokens a second, so that a large
    request seemed to be late because of its own size.
    """
    loads = [Load(f'small-{number}', 8) for number in range(8)]
    loads += [Load(f'bound-{number}', 70, 1) for number in range(2)]
    loads += [Load(f'spread-{number}', 90) for number in range(3)]
    fleet = simulate(run_fleet(loads))
    assert not broken_windows(fleet)


def test_account_does_not_pay_back_what_it_got_from_idle_capacity() -> None:
    """Guards against an account that is held back for seconds.

    It got much while there was capacity for all; then other accounts began to
    ask, and engines crashed.
    """
    loads = [Load(f'small-{number}', 8) for number in range(8)]
    loads.append(Load('early', 200))
    loads += [
        Load(f'late-{number}', 60, number + 1, CRASH_SECOND - 1)
        for number in range(5)
    ]
    fleet = simulate(run_fleet(loads))
    assert not broken_windows(fleet)
