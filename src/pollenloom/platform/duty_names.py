"""Names of the duties in the platform's settings."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from absl import logging

from pollenloom.duties.duty import Duty
from pollenloom.platform import wire_names

DUTIES: Final = MappingProxyType(
    {
        wire_names.USAGE_DUTY: Duty.USAGE_REPORT,
        wire_names.SCALING_DUTY: Duty.SCALING,
    }
)


def read_duties(names: Iterable[str]) -> frozenset[Duty]:
    """Return the duties of these names; unknown ones are logged."""
    given = tuple(names)
    unknown = [name for name in given if name not in DUTIES]
    if unknown:
        logging.warning('duties_unknown %s', unknown)
    return frozenset(DUTIES[name] for name in given if name in DUTIES)
