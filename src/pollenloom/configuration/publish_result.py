"""Result of a publish, for the operator."""

from enum import Enum, unique
from typing import Any

import msgspec

from pollenloom.core.ids import PublishId, Revision
from pollenloom.validation.file_problem import FileProblem


@unique
class PublishState(Enum):
    """How a publish ended."""

    PUBLISHED = 'published'
    UNCHANGED = 'unchanged'
    LOST = 'lost'
    INVALID = 'invalid'
    UNAVAILABLE = 'platform_unavailable'
    UNKNOWN = 'unknown'


class PublishResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a publish.

    Attributes:
        state: How it ended.
        publish_id: Id of the publish; it can be looked for in events.
        revision: Revision in force after it, 0 if not known.
        publisher: Who published that revision.
        detail: Cause of a failure.
        problems: Why the files are not valid.
        warnings: What is valid, but not backed by any VM.
    """

    state: PublishState
    publish_id: PublishId
    revision: Revision = Revision(0)
    publisher: str = ''
    detail: str = ''
    problems: tuple[FileProblem, ...] = ()
    warnings: tuple[FileProblem, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the result as JSON types."""
        converted: dict[str, Any] = msgspec.to_builtins(self)
        return converted
