"""A route of an application in a service's file."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from pollenloom.core.ids import RouteId

HttpMethod = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']


class RouteEntry(BaseModel):
    """One route; the first entry that matches a call applies.

    Attributes:
        name: Id of the route, for metrics and version moves.
        path: Path below the service; a final `*` matches any suffix.
        methods: HTTP methods that it accepts.
        repeatable: Whether a call may be run more than once; by default, only
            GET and HEAD may.
        cost: Number of ordinary calls that one call counts as.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: RouteId = Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    path: str = Field(pattern='^/')
    methods: tuple[HttpMethod, ...] = Field(min_length=1)
    repeatable: bool | None = None
    cost: float = Field(default=1, gt=0, le=10_000)

    def matches(self, method: str, path: str) -> bool:
        """Whether a call of `method` on `path` matches this route."""
        if method not in self.methods:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path

    def is_repeatable(self, method: str) -> bool:
        """Whether a call of `method` may be run more than once."""
        if self.repeatable is None:
            return method in {'GET', 'HEAD'}
        return self.repeatable
