"""Decision on a publish, as every reader of the log derives it."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import PublishId, Revision
    from pollenloom.validation.file_problem import FileProblem


@unique
class PublishDecision(Enum):
    """Decision on a publish.

    Attributes:
        ACCEPTED: Its files are a new revision.
        LOST: Another change was accepted first; the base is outdated.
        INVALID: Its files have problems.
    """

    ACCEPTED = 'accepted'
    LOST = 'lost'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishOutcome:
    """Decision on one publish, with the revision in force after it.

    Attributes:
        publish_id: Id of the publish.
        publisher: Operator who published it.
        decision: Whether it was accepted, and if not, why.
        revision: Revision in force right after the decision; created by this
            publish if it was accepted, by the winner if it lost.
        winner: Operator who published that revision.
        problems: Problems of the files if it is invalid.
    """

    publish_id: 'PublishId'
    publisher: str
    decision: PublishDecision
    revision: 'Revision'
    winner: str
    problems: 'tuple[FileProblem, ...]' = ()
