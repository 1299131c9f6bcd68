"""Cases that differ in the choice of servers and in cache events."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class AffinityCase:
    """Settings of one run.

    Attributes:
        label: Name in the table of results.
        policy: Admission policy of the routers.
        affinity: Whether predicted cache contents affect the choice.
        lag_seconds: Delay after which engines publish cache events.
        loss: Fraction of cache events that are lost.
    """

    label: str
    policy: str = 'allocator'
    affinity: bool = True
    lag_seconds: float = 1
    loss: float = 0

    @property
    def sections(self) -> str:
        """Sections of the routers' settings files, in TOML."""
        affinity = 'true' if self.affinity else 'false'
        return f'[admission]\npolicy = "{self.policy}"\naffinity = {affinity}\n'

    @property
    def engine_options(self) -> tuple[str, ...]:
        """Command line options of the engine stand-ins."""
        return (
            '--cache-event-lag-seconds',
            str(self.lag_seconds),
            '--cache-event-loss',
            str(self.loss),
        )


CASES: Final = (
    AffinityCase('no affinity', affinity=False),
    # Each shard has one server, so that the hash of a request's prefix chooses
    # the server.
    AffinityCase('hashed prefixes', policy='server_owner', affinity=False),
    AffinityCase('own predictions', loss=1),
    AffinityCase('events after 1 s'),
    AffinityCase('events after 5 s', lag_seconds=5),
    AffinityCase('events after 5 s, 20% lost', lag_seconds=5, loss=0.2),
)
