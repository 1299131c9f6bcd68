"""Servers of one pool, with the load that its owner counts."""

from collections.abc import Iterable, Iterator

from pollenloom.admission.engine_reports.fencing_number_tracker import (
    FencingNumberTracker,
)
from pollenloom.admission.grant_ledger import OpenGrant
from pollenloom.admission.server_ramp import ServerRamp
from pollenloom.admission.server_state import ReportBarrier, ServerState
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import ServerId, VersionId, VmId

# How long an owner waits for reports of grants before it gives new ones.
TAKEOVER_TIMEOUT_SECONDS = 0.5


class PoolServers:
    """Fleet-wide load and limits of a pool's servers.

    Attributes:
        ramp: Whether cold servers start at `cold_slots`.
        has_load_reports: Whether the servers' load reports are read.
        servers: Servers by id, including removed ones with open grants.
        fencing: Fencing numbers that the servers have seen.
    """

    def __init__(self, *, ramp: bool) -> None:
        self.ramp = ramp
        self.has_load_reports = False
        self.servers: dict[ServerId, ServerState] = {}
        self.fencing = FencingNumberTracker()

    def __iter__(self) -> Iterator[ServerState]:
        """Iterate over the states of all servers."""
        return iter(self.servers.values())

    def get(self, server: ServerId) -> ServerState | None:
        """Return the state of a server, if it is known."""
        return self.servers.get(server)

    def free_slots(self, now: float) -> int:
        """Number of grants that may be given now."""
        return sum(state.free_slots(now) for state in self.servers.values())

    def replace(
        self,
        servers: Iterable[BackendServer],
        routers: Iterable[VmId],
        now: float,
    ) -> tuple[ServerId, ...]:
        """Set the servers of the pool; return those that were added.

        The load of added servers is unknown until the routers have reported
        it. Servers that are no longer listed get no new grants, but stay
        until all their grants are settled.
        """
        listed = {server.server: server for server in servers}
        report_barrier = ReportBarrier(
            set(routers), now + TAKEOVER_TIMEOUT_SECONDS
        )
        for server_id, state in tuple(self.servers.items()):
            state.listed = server_id in listed
            if not state.listed and state.in_flight == 0:
                self.servers.pop(server_id)
        added = []
        for server_id, server in listed.items():
            known = self.servers.get(server_id)
            if known is None:
                self.add_server(server, report_barrier)
                added.append(server_id)
            else:
                self.update_server(known, server)
        return tuple(added)

    def add_server(
        self, server: BackendServer, report_barrier: ReportBarrier
    ) -> None:
        """Add a server that gets no grants before its load is reported."""
        ramp = self.make_ramp(
            server, median_baseline(server, self.servers.values())
        )
        self.servers[server.server] = ServerState(server, ramp, report_barrier)

    def make_ramp(
        self,
        server: BackendServer,
        baseline: float | None,
    ) -> ServerRamp:
        """Return the ramp of a server that has just started."""
        return ServerRamp(
            server.slots,
            server.cold_slots,
            enabled=self.ramp,
            baseline=baseline,
            awaits_report=self.has_load_reports,
        )

    def update_server(self, state: ServerState, server: BackendServer) -> None:
        """Apply a changed entry of a known server."""
        if state.server.address != server.address:
            # A new address means a new process, which starts cold.
            state.ramp = self.make_ramp(server, state.ramp.baseline)
        elif state.server != server:
            state.ramp.resize(server.slots, server.cold_slots)
        state.server = server

    def versions(self) -> set[VersionId]:
        """Versions of the pool's servers."""
        return {state.server.version for state in self.servers.values()}

    def release(self, grant: OpenGrant) -> None:
        """Free the slot of a closed grant."""
        state = self.servers.get(grant.server)
        if state is None:
            return
        state.in_flight -= 1
        if not state.listed and state.in_flight == 0:
            self.servers.pop(grant.server)

    def record_fenced(self, grant: OpenGrant) -> None:
        """Record that a server refused a grant's fencing number.

        The server gets grants again only with a higher one.
        """
        self.fencing.refuse(grant.epoch)
        state = self.servers.get(grant.server)
        if state is not None:
            state.refused_epoch = max(state.refused_epoch, grant.epoch)

    def add_grant(self, server: ServerId) -> None:
        """Count a grant on a server."""
        self.servers[server].add_grant()

    def await_all_reports(self, routers: Iterable[VmId], now: float) -> None:
        """Give no grants until all routers have reported theirs.

        The wait ends after `TAKEOVER_TIMEOUT_SECONDS`.
        """
        report_barrier = ReportBarrier(
            set(routers), now + TAKEOVER_TIMEOUT_SECONDS
        )
        for state in self.servers.values():
            state.report_barrier = report_barrier

    def restore_ramps(self, router: VmId) -> None:
        """Raise limits to the load that is now known from a router's report."""
        for state in self.servers.values():
            if router in state.report_barrier.awaiting:
                state.ramp.restore(state.in_flight)

    def awaited_routers(self) -> set[VmId]:
        """Routers that have not reported their grants."""
        return {
            router
            for state in self.servers.values()
            for router in state.report_barrier.awaiting
        }

    def stop_awaiting(self, router: VmId) -> None:
        """Stop waiting for the report of a router."""
        for state in self.servers.values():
            state.report_barrier.awaiting.discard(router)

    def next_opening(self, now: float) -> float:
        """Time at which the next blocked or paused server may get grants.

        In monotonic seconds; infinite if there is none.
        """
        openings = [float('inf')]
        for state in self.servers.values():
            openings.extend(
                at
                for at in (
                    state.report_barrier.deadline,
                    state.ramp.closed_until,
                )
                if at > now
            )
        return min(openings)


def median_baseline(
    server: BackendServer,
    states: Iterable[ServerState],
) -> float | None:
    """Median baseline latency of the known servers of the same version.

    None if none of them has a baseline.
    """
    baselines = sorted(
        state.ramp.baseline
        for state in states
        if state.ramp.baseline is not None
        and state.server.version == server.version
    )
    return baselines[len(baselines) // 2] if baselines else None
