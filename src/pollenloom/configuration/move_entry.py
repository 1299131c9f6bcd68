"""A version move in a service's file."""

from datetime import datetime
from typing import Self

from pydantic import (
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)

from pollenloom.core.ids import MoveId, VersionId


class MoveEntry(BaseModel):
    """Move of the traffic from one version to another within a time window.

    Attributes:
        name: Id of the move.
        from_version: Version that serves now.
        to_version: Version that replaces it.
        start: Time before which the new version gets no requests.
        finish_by: Time by which all traffic has moved.
    """

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        validate_by_name=True,
        validate_by_alias=True,
    )

    name: MoveId = Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    from_version: VersionId = Field(alias='from', min_length=1)
    to_version: VersionId = Field(alias='to', min_length=1)
    start: AwareDatetime
    finish_by: AwareDatetime

    @model_validator(mode='after')
    def check_order(self) -> Self:
        """Reject a move that ends before it starts or has only one version."""
        if self.finish_by <= self.start:
            raise ValueError('finish_by must be later than start')
        if self.from_version == self.to_version:
            raise ValueError('from and to must be different versions')
        return self

    def window(self) -> tuple[datetime, datetime]:
        """Start and end of the move."""
        return self.start, self.finish_by
