"""Requests that began in one window."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pollenloom.core.ids import AccountId, WindowNumber


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Counts of one window, complete and final.

    Attributes:
        window: Number of the window; window k begins k times its length after
            the Unix epoch.
        began: Requests that servers began in it, by client account.
    """

    window: 'WindowNumber'
    began: 'Mapping[AccountId, int]'
