"""Duties of the fleet."""

from enum import Enum, unique


@unique
class Duty(Enum):
    """A kind of call to the platform that one router makes at a time."""

    USAGE_REPORT = 'usage_report'
    SCALING = 'scaling'
