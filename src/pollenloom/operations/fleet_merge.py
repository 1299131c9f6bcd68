"""Merging of the statuses of routers into the status of the fleet."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from pollenloom.admission.admission_status import AccountStatus, PoolStatus
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import AccountId, PoolId, ServerId, ServiceId, VmId
from pollenloom.membership.member import Member
from pollenloom.operations.fleet_status import (
    DataCentreView,
    MemberView,
    ServerView,
)
from pollenloom.operations.router_status import DataCentreReport, RouterStatus

AccountKey = tuple[ServiceId, AccountId]
# Whether the pool owner itself reports it, its epoch, the pool.
RankedPool = tuple[bool, int, PoolStatus]


def merge_pools(statuses: Iterable[RouterStatus]) -> tuple[PoolStatus, ...]:
    """Return one entry for each pool.

    Entries that a pool owner itself reports rank before those of other
    routers, then the highest epoch ranks first.
    """
    best: dict[PoolId, RankedPool] = {}
    for status in statuses:
        for pool in status.admission.pools:
            ranked = (pool.owner == status.vm, pool.epoch, pool)
            known = best.get(pool.pool)
            if known is None or ranked[:2] > known[:2]:
                best[pool.pool] = ranked
    return tuple(best[pool_id][2] for pool_id in sorted(best))


def merge_accounts(
    statuses: Iterable[RouterStatus],
) -> tuple[AccountStatus, ...]:
    """Return one entry for each service and account.

    Pool owners exchange cumulative totals, so the highest total is the
    latest; adding them up would count work more than once. A request waits
    on one router only, so waiting requests are added up.
    """
    best: dict[AccountKey, AccountStatus] = {}
    waiting: Counter[AccountKey] = Counter()
    for status in statuses:
        for account in status.admission.accounts:
            key = (account.service, account.account)
            waiting[key] += account.waiting
            known = best.get(key)
            if known is None or account.served > known.served:
                best[key] = account
    return tuple(
        msgspec.structs.replace(best[key], waiting=waiting[key])
        for key in sorted(best)
    )


def merge_servers(
    servers: Iterable[BackendServer],
    pools: Iterable[PoolStatus],
) -> tuple[ServerView, ...]:
    """Join the configured servers with the load that pool owners report."""
    views = {
        server.server: ServerView(
            server=server.server,
            service=server.service,
            data_centre=server.data_centre,
            version=server.version,
            address=server.address,
            slots=server.slots,
            takes_work=True,
        )
        for server in servers
    }
    for pool in pools:
        add_load(views, pool)
    return tuple(views[server] for server in sorted(views))


def add_load(views: dict[ServerId, ServerView], pool: PoolStatus) -> None:
    """Add the load of the servers of a pool.

    Servers that are leaving the configuration are included, without an
    address if it is not known any more.
    """
    for status in pool.servers:
        known = views.get(status.server)
        views[status.server] = ServerView(
            server=status.server,
            service=pool.service,
            data_centre=pool.data_centre,
            version=status.version,
            address=known.address if known else '',
            slots=status.slots,
            takes_work=known is not None and not status.leaving,
            in_flight=status.in_flight,
            limit=status.limit,
            cold=status.cold,
        )


def merge_members(
    members: Iterable[Member],
    statuses: Mapping[VmId, RouterStatus],
) -> tuple[MemberView, ...]:
    """Return the members, with details of those that answered."""
    return tuple(member_view(member, statuses) for member in members)


def member_view(
    member: Member,
    statuses: Mapping[VmId, RouterStatus],
) -> MemberView:
    """Return a member, with details if it answered."""
    status = statuses.get(member.vm)
    return MemberView(
        vm=member.vm,
        data_centre=member.data_centre,
        state=member.state,
        operator_address=member.operator_address,
        answered=status is not None,
        phase=status.phase.value if status else None,
        revision=status.revision if status else None,
        waiting=status.admission.waiting if status else None,
    )


def merge_data_centres(
    local_reports: Iterable[DataCentreReport],
    members: Iterable[Member],
    statuses: Iterable[RouterStatus],
) -> tuple[DataCentreView, ...]:
    """Return the data centres and how many routers agree on their state.

    Args:
        local_reports: States in force on this router.
        members: Members of the fleet.
        statuses: Statuses of all routers that answered, and of this one.
    """
    router_data_centres = [member.data_centre for member in members]
    reports = [report for status in statuses for report in status.data_centres]
    return tuple(
        DataCentreView(
            data_centre=report.data_centre,
            state=report.state,
            routers=router_data_centres.count(report.data_centre),
            routers_with_state=reports.count(report),
        )
        for report in local_reports
    )
