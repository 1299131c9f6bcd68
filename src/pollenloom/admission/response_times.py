"""Times of recent responses that a router reports."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import ServerId


@dataclass(frozen=True, slots=True)
class ResponseTimes:
    """Times to the first byte, summed up by server.

    Attributes:
        usual: Milliseconds that the responses take at the usual speed.
        taken: Milliseconds that they took.
    """

    usual: Mapping[ServerId, float] = field(default_factory=dict)
    taken: Mapping[ServerId, float] = field(default_factory=dict)
