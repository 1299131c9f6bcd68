"""Tests of the log lines about records that are not used."""

import logging

import pytest

from pollenloom.catalogue.rejected_records import (
    LINES_PER_SECOND,
    MAX_REMEMBERED,
    RejectedRecords,
)

NOW = 10.0


@pytest.fixture
def rejected() -> RejectedRecords:
    """No record was rejected yet."""
    return RejectedRecords('store_record_rejected')


def test_repeated_fault_is_logged_once(
    rejected: RejectedRecords, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a line for each heartbeat of a faulty writer."""
    with caplog.at_level(logging.WARNING):
        for second in range(50):
            rejected.add('i-1', 'slots out of range', NOW + second)
    assert len(caplog.messages) == 1
    assert "'i-1'" in caplog.messages[0]
    assert rejected.count == 50


def test_lines_and_memory_are_bounded(
    rejected: RejectedRecords, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a writer that fills the log or the memory."""
    with caplog.at_level(logging.WARNING):
        for number in range(5 * MAX_REMEMBERED):
            rejected.add(f'i-{number}', 'slots out of range', NOW)
    assert len(caplog.messages) == LINES_PER_SECOND
    for number in range(5 * MAX_REMEMBERED):
        rejected.add(f'i-{number}', 'slots out of range', NOW + number)
    assert len(rejected.logged) <= MAX_REMEMBERED


def test_fault_beyond_the_budget_is_logged_later(
    rejected: RejectedRecords, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a fault that is never seen, as one of many was first."""
    for number in range(LINES_PER_SECOND):
        rejected.add(f'i-{number}', 'slots out of range', NOW)
    rejected.add('late', 'slots out of range', NOW)
    with caplog.at_level(logging.WARNING):
        caplog.clear()
        rejected.add('late', 'slots out of range', NOW + 1)
    assert len(caplog.messages) == 1
