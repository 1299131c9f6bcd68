"""Result of a publish, as reported to the operator."""

from enum import Enum, unique
from typing import Any

import msgspec

from pollenloom.core.ids import PublishId, Revision
from pollenloom.validation.file_problem import FileProblem


@unique
class PublishState(Enum):
    """How a publish ended.

    Attributes:
        PUBLISHED: It was accepted as a new revision.
        UNCHANGED: Its files are already in force; nothing was appended.
        LOST: Another revision than the base is in force.
        INVALID: Its files have problems.
        UNAVAILABLE: The platform was not reached; nothing was appended.
        UNKNOWN: It may have been appended; its decision was not read in time.
    """

    PUBLISHED = 'published'
    UNCHANGED = 'unchanged'
    LOST = 'lost'
    INVALID = 'invalid'
    UNAVAILABLE = 'platform_unavailable'
    UNKNOWN = 'unknown'


class PublishResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one publish.

    Attributes:
        state: How the publish ended.
        publish_id: Id of the publish; events have it as their subject.
        revision: Revision in force after it, 0 if not known.
        publisher: Operator who published that revision.
        detail: Cause of a failure.
        problems: Problems of the files if they are invalid.
        warnings: Valid names that no VM uses.
    """

    state: PublishState
    publish_id: PublishId
    revision: Revision = Revision(0)
    publisher: str = ''
    detail: str = ''
    problems: tuple[FileProblem, ...] = ()
    warnings: tuple[FileProblem, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the result as types that JSON can represent."""
        converted: dict[str, Any] = msgspec.to_builtins(self)
        return converted
