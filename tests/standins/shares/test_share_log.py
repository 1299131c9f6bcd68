"""Tests of the shares read from log lines."""

import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest

from pollenloom.admission.account_activities import AccountActivities
from pollenloom.admission.account_record import record_accounts
from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.json_log import JsonFormatter
from pollenloom_standins.shares.share_log import ShareLog
from tests.manual_clock import ManualClock

ROOT = Path(__file__).resolve().parents[3]
SERVICE = ServiceId('answers')
SHOP = AccountId('shop')
RUN_BEGIN = 1_000_000
SECONDS = 8


def make_line(second: int, account: AccountId, begun: int) -> str:
    """Return the line of a router, as the log of a run shows it."""
    clock = ManualClock(RUN_BEGIN + second + 1.02)
    events = EventLog(clock)
    activities = AccountActivities()
    activity = activities.accounts[account]
    activity.asked = 1000
    activity.begun = begun
    activity.refused = 1
    activity.largest = 10
    activity.beyond = 400
    activity.no_room = 300
    activity.not_begun = 200
    activity.repeated = 20
    activity.surplus = 30
    record_accounts(events, SERVICE, activities, RUN_BEGIN + second)
    record = logging.LogRecord('absl', logging.INFO, '', 0, '', None, None)
    record.created = clock.wall()
    record.event_record = events.events[-1]
    line = JsonFormatter().format(record)
    return f'{second + 1.02:9.4f} edge-enschede-1 {line}\n'


@pytest.fixture
def lines() -> list[str]:
    """The log of a run in which the shop gets less than its share."""
    return [
        make_line(second, account, begun)
        for second in range(SECONDS)
        for account, begun in ((SHOP, 100), (AccountId('bakery'), 900))
    ]


def test_routers_add_up(lines: list[str]) -> None:
    """Guards against shares of one router that pass for those of the fleet."""
    log = ShareLog.from_lines([*lines, *lines])
    seconds = log.seconds(SERVICE)
    assert seconds == range(SECONDS)
    shop = log.table(SERVICE, seconds)[SHOP][3]
    assert (shop.asked, shop.begun, shop.refused) == (2000, 200, 2)
    assert shop.largest == 10


def test_lines_of_other_events_and_cut_lines(lines: list[str]) -> None:
    """Guards against a log that cannot be read since a process was killed."""
    cut = lines[-1][:-40]
    log = ShareLog.from_lines(['built in 3 s\n', *lines, cut])
    assert log.unreadable == 1
    assert log.seconds(SERVICE) == range(SECONDS)


def test_lines_without_time_of_the_run(lines: list[str]) -> None:
    """Guards against logs that can be read from the bench only."""
    bare = [line[line.index('{') :] for line in lines]
    log = ShareLog.from_lines(bare)
    assert log.seconds(SERVICE) == range(RUN_BEGIN, RUN_BEGIN + SECONDS)


def test_command_prints_the_smallest_margin_first(lines: list[str]) -> None:
    """Guards against a report that tells breaks only.

    Half of 900 is owed in each second and 100 began; 30 may be missing.
    """
    process = subprocess.run(
        [
            sys.executable,
            str(ROOT / 'scripts' / 'measure_shares.py'),
            '--account',
            SHOP,
        ],
        input=''.join(lines),
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        capture_output=True,
        text=True,
        check=True,
    )
    rows = process.stdout.splitlines()
    assert '2 accounts, seconds 0 to 8' in rows[0]
    margin, start, account, *_ = rows[2].split()
    assert float(margin) == pytest.approx((600 + 30 - 2700) / 5400, abs=1e-3)
    assert (start, account) == ('0', SHOP)
    last = [int(column) for column in rows[-1].split()]
    assert last[:8] == [7, 1000, 0, 100, 900, 900, 1, 0]
    assert last[8:] == [400, 300, 200, 20, 30]
