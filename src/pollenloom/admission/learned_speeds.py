"""Speeds of backend servers, learned from the responses of the fleet."""

from collections.abc import Collection, Container, Mapping
from statistics import median_low
from typing import Final

from pollenloom.admission.response_times import ResponseTimes
from pollenloom.admission.server_speeds import ServerSpeeds
from pollenloom.core.ids import ServerId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.routing.load_before import LoadBefore
from pollenloom.routing.server_speed import ServerSpeed
from pollenloom.routing.service_load import ServiceLoad

# Reports come as often; to learn with each request would take processor time.
LEARN_INTERVAL_SECONDS: Final = 0.1
# Slower than the middle by so much, a server counts as slow, until it is
# nearer to it. Its long prefixes move to other servers, where they have to be
# read once more, so this must not change back and forth.
SLOW_FACTOR: Final = 1.4
NOT_SLOW_FACTOR: Final = 1.2
# Times below this say nothing any more and are not reported.
MIN_REPORTED_MILLISECONDS: Final = 5


class LearnedSpeeds(ServerSpeeds):
    """Learns the slowness of each server from times to the first byte.

    One router sees few responses of each server, so routers report sums of
    the times of their recent responses, and each adds up all of them. A router
    that has just started takes all servers for alike until the first reports
    arrive.

    Attributes:
        speeds: Speed of each server.
        slow: Servers that are slower than others at all times.
        typical: Slowness of a server in the middle.
        learned_at: When reports were last used, monotonic seconds.
    """

    def __init__(self) -> None:
        self.speeds: dict[ServerId, ServerSpeed] = {}
        self.slow: set[ServerId] = set()
        self.typical: float = 1
        self.learned_at = float('-inf')

    def slowness(self, server: ServerId) -> float:
        """Return the slowness of a slow server relative to the middle.

        That of others differs more by their load than by their speed, so they
        count as alike.
        """
        if server not in self.slow:
            return 1
        return self.speeds[server].slowness / self.typical

    def is_slow(self, server: ServerId) -> bool:
        """Whether a server is slower than others at all times."""
        return server in self.slow

    def slow_servers(self) -> Collection[ServerId]:
        """Return the servers that are slower than others at all times."""
        return self.slow

    def waiting_requests(self, in_flight: int, load: LoadBefore) -> float:
        """Return the requests of all routers for each of the server's places.

        A server that is slow for a moment shows by its running requests before
        the latencies that one router sees tell.
        """
        return load.running / load.slots

    def observe(
        self, server: ServerId, usual: float, seconds: float, now: float
    ) -> None:
        """Learn from a response that began; see `ServerSpeeds`."""
        self.speed(server).observe(usual, seconds, now)

    def speed(self, server: ServerId) -> ServerSpeed:
        """Return the speed of a server; create it if needed."""
        speed = self.speeds.get(server)
        if speed is None:
            speed = ServerSpeed()
            self.speeds[server] = speed
        return speed

    def learn(self, remote_load: ServiceLoad, now: float) -> None:
        """Use what other routers reported, at most once an interval."""
        elapsed = now - self.learned_at
        if elapsed < LEARN_INTERVAL_SECONDS:
            return
        self.learned_at = now
        for server in remote_load.usual_times:
            self.speed(server)
        for server, speed in self.speeds.items():
            speed.learn(
                reported_seconds(remote_load.usual_times, server),
                reported_seconds(remote_load.taken_times, server),
                elapsed,
                now,
            )
        if self.speeds:
            self.typical = median_low(
                learned.slowness for learned in self.speeds.values()
            )
        self.slow = {
            name
            for name, learned in self.speeds.items()
            if learned.slowness > self.typical * self.slow_factor(name)
        }

    def slow_factor(self, server: ServerId) -> float:
        """Slowness relative to the middle at which a server counts as slow."""
        return NOT_SLOW_FACTOR if server in self.slow else SLOW_FACTOR

    def retain(self, servers: Container[ServerId]) -> None:
        """Forget removed servers."""
        for server in tuple(self.speeds):
            if server not in servers:
                self.speeds.pop(server)
                self.slow.discard(server)

    def recent_times(self, now: float) -> ResponseTimes:
        """Return the times of this router's recent responses."""
        usual: dict[ServerId, float] = {}
        taken: dict[ServerId, float] = {}
        for server, speed in self.speeds.items():
            if not speed.usual:
                continue
            speed.decay(now)
            milliseconds = round(speed.usual * MILLISECONDS_PER_SECOND)
            if milliseconds >= MIN_REPORTED_MILLISECONDS:
                usual[server] = milliseconds
                taken[server] = round(speed.taken * MILLISECONDS_PER_SECOND)
        return ResponseTimes(usual, taken)


def reported_seconds(
    times: Mapping[ServerId, float], server: ServerId
) -> float:
    """Return the seconds reported for a server; 0 without any."""
    return max(0, times.get(server, 0)) / MILLISECONDS_PER_SECOND
