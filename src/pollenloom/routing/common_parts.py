"""What the requests with one prompt part in several crashes have in common."""

from collections.abc import Collection
from typing import Self

from pollenloom.core.ids import AccountId, PromptPartId, ServiceId
from pollenloom.routing.crash_evidence import (
    ServerCrash,
    SuspectRequest,
    count_moments,
)
from pollenloom.routing.fleet_facts import part_key
from pollenloom.routing.request_identity import is_identity, is_identity_key


class CommonParts:
    """Requests with one part, and the parts that all of them hold.

    Attributes:
        crashes: Crashes with such requests, in order of time.
        requests: The requests of each crash.
        parts: Parts that all these requests hold.
        deeper_parts: Other parts that come after the part in a prompt.
        accounts: Client accounts of the requests.
        service: Service of the servers.
    """

    def __init__(self, key: str, crashes: list[ServerCrash]) -> None:
        self.crashes = crashes
        self.requests = [requests_with(key, crash) for crash in crashes]
        flat = [request for found in self.requests for request in found]
        self.service: ServiceId = flat[0].service
        self.parts: frozenset[PromptPartId] = frozenset.intersection(
            *(frozenset(request.parts) for request in flat)
        )
        if not is_identity_key(key):
            # A block of a part must hold for other requests with it.
            self.parts = frozenset(
                part for part in self.parts if not is_identity(part)
            )
        self.deeper_parts = (
            frozenset[PromptPartId]().union(
                *(parts_after(key, request) for request in flat)
            )
            - self.parts
        )
        self.accounts: frozenset[AccountId] = frozenset(
            request.account for request in flat
        )

    def restricted_to(self, keys: Collection[str]) -> Self:
        """Leave out the parts that are not among some keys."""
        self.parts = frozenset(
            part for part in self.parts if part_key(self.service, part) in keys
        )
        return self

    def moments_without(self, repeated: Collection[str]) -> int:
        """Return the fewest moments that no deeper part explains.

        Fewer requests hold a part that comes later in a prompt. A part before
        a crashing one is in all its crashes, and lost a few times more.

        Args:
            repeated: Keys of the parts that may explain crashes by themselves.
        """
        counts = [
            self.count_without(part)
            for part in self.deeper_parts
            if part_key(self.service, part) in repeated
        ]
        return min(counts, default=count_moments(self.crashes))

    def count_without(self, other: PromptPartId) -> int:
        """Return the moments in which no request holds a further part."""
        return count_moments(
            crash
            for crash, found in zip(self.crashes, self.requests, strict=True)
            if all(other not in request.parts for request in found)
        )


def requests_with(key: str, crash: ServerCrash) -> list[SuspectRequest]:
    """Return the requests of a crash that hold a part."""
    return [
        request
        for request in crash.requests
        if any(part_key(request.service, part) == key for part in request.parts)
    ]


def parts_after(key: str, request: SuspectRequest) -> tuple[PromptPartId, ...]:
    """Return the parts that come after a part in a prompt."""
    keys = [part_key(request.service, part) for part in request.parts]
    return request.parts[keys.index(key) + 1 :]
