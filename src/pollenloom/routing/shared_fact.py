"""An observation that all routers of the fleet use."""

from dataclasses import dataclass
from typing import Generic, TypeVar

ContentT = TypeVar('ContentT')


@dataclass(frozen=True, slots=True)
class SharedFact(Generic[ContentT]):
    """What one router observed, and when.

    Attributes:
        fact_id: Unique id of the observation.
        key: Subject of the observation; a newer one replaces it.
        observed_at: Monotonic seconds of the router that holds the fact.
        content: What was observed.
    """

    fact_id: str
    key: str
    observed_at: float
    content: ContentT
