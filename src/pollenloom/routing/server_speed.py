"""Learned speed of one backend server."""

from typing import Final

from pollenloom.routing.decaying_count import decay_weight

# Routers report the times of responses of this time, which is longer than
# reports take to reach the others.
RECENT_SECONDS: Final = 0.5
# Time over which the speed is learned: many times the length of a passing
# slowness of 0.6 s, which takes 15 in 100 of the time.
LASTING_SECONDS: Final = 10.0
# Usual seconds of responses that weigh as much as the speed of a server that
# nothing is known of. A large prompt takes 0.1 to 0.2 s.
PRIOR_SECONDS: Final = 0.3
# A response that hangs says less of a server's speed than of its health.
MIN_SLOWNESS: Final = 0.25
MAX_SLOWNESS: Final = 6.0


class ServerSpeed:
    """Slowness of a server over many responses.

    Slowness is the time that responses took, relative to the time that they
    usually take for as many tokens.

    Attributes:
        usual: Usual seconds of this router's recent responses, decaying.
        taken: Seconds that these took, decaying.
        decayed_at: When both were last decayed, monotonic seconds.
        lasting_usual: Usual seconds of the fleet's responses.
        lasting_taken: Seconds that these took.
        slowness: Lasting slowness.
    """

    def __init__(self) -> None:
        self.usual: float = 0
        self.taken: float = 0
        self.decayed_at = float('-inf')
        self.lasting_usual: float = 0
        self.lasting_taken: float = 0
        self.slowness: float = 1

    def decay(self, now: float) -> None:
        """Let recent responses weigh less."""
        weight = decay_weight(now - self.decayed_at, RECENT_SECONDS)
        self.decayed_at = now
        self.usual *= weight
        self.taken *= weight

    def observe(self, usual: float, seconds: float, now: float) -> None:
        """Add a response that began."""
        self.decay(now)
        self.usual += usual
        self.taken += bounded(seconds / usual) * usual

    def learn(
        self,
        remote_usual: float,
        remote_taken: float,
        elapsed: float,
        now: float,
    ) -> None:
        """Add what the fleet saw during some seconds.

        The recent sums are those of about `RECENT_SECONDS`, of which only the
        part that is new counts.
        """
        if self.usual:
            self.decay(now)
        kept = decay_weight(elapsed, LASTING_SECONDS)
        part = min(1, elapsed / RECENT_SECONDS)
        usual = (self.usual + remote_usual) * part
        taken = (self.taken + remote_taken) * part
        self.lasting_usual = self.lasting_usual * kept + usual
        self.lasting_taken = self.lasting_taken * kept + taken
        self.slowness = bounded(
            (self.lasting_taken + PRIOR_SECONDS)
            / (self.lasting_usual + PRIOR_SECONDS)
        )


def bounded(slowness: float) -> float:
    """Return a slowness within its bounds."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
