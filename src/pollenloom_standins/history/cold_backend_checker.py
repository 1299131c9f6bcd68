"""Checks that cold backend servers are not overloaded."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.history.samples import ServerSample

# Routers learn that a warm server turned cold only from its responses to
# requests that they had sent before.
DETECTION_SECONDS: Final = 1.5


class ColdBackendChecker(PromiseChecker[History]):
    """No server counts an overload while it is cold.

    Overloads just after a warm server turned cold are allowed.
    """

    requirement = 'R3'
    promise = 'a cold server gets no more load than it can handle'

    def violations(self, history: History) -> Iterator[str]:
        """Return overloads of cold servers."""
        for samples in samples_by_start(history).values():
            for before, after in pairwise(samples):
                more = after.cold_overloads - before.cold_overloads
                if more and not history.had_fault(
                    (FaultKind.BACKEND_COLD,),
                    before.at - DETECTION_SECONDS,
                    after.at,
                    after.server,
                ):
                    yield (
                        f'{after.server} got {more} requests above its '
                        f'{after.cold_slots} cold slots between '
                        f'{before.at:.3f} and {after.at:.3f}'
                    )

    def checked(self, history: History) -> int:
        """Return the number of cold starts."""
        kinds = (FaultKind.BACKEND_COLD, FaultKind.BACKEND_KILLED)
        return sum(1 for _ in history.faults_of(*kinds))


def samples_by_start(
    history: History,
) -> dict[tuple[str, int], list[ServerSample]]:
    """Return the samples by server and start, each list after a zero one."""
    found: dict[tuple[str, int], list[ServerSample]] = defaultdict(list)
    for sample in history.servers:
        samples = found[sample.server, sample.start]
        if not samples:
            samples.append(zero_sample(sample))
        samples.append(sample)
    return found


def zero_sample(sample: ServerSample) -> ServerSample:
    """Return the sample of a server that has handled no request yet."""
    return ServerSample(
        server=sample.server,
        start=sample.start,
        at=sample.at,
        cold_slots=sample.cold_slots,
        cold_overloads=0,
        peak_running_cold=0,
        refused_leaving=0,
    )
