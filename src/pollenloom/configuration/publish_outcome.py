"""What became of a publish."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import PublishId, Revision
    from pollenloom.validation.file_problem import FileProblem


@unique
class PublishDecision(Enum):
    """How the log decided on a publish."""

    ACCEPTED = 'accepted'
    LOST = 'lost'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishOutcome:
    """The decision on one publish.

    Attributes:
        publish_id: The publish.
        publisher: Who published it.
        decision: The decision.
        revision: Revision in force right after the decision; the publish's
            own if it was accepted, the winner's if it lost.
        winner: Publisher of that revision.
        problems: Why it was invalid.
    """

    publish_id: 'PublishId'
    publisher: str
    decision: PublishDecision
    revision: 'Revision'
    winner: str
    problems: 'tuple[FileProblem, ...]' = ()
