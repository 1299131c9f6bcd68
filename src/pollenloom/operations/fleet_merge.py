"""Merges the parts of the routers into the status of the fleet."""

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
# Whether the owner itself reports, its epoch, the pool.
RankedPool = tuple[bool, int, PoolStatus]


def merge_pools(parts: Iterable[RouterStatus]) -> tuple[PoolStatus, ...]:
    """Return one entry a pool: the owner's own with the highest epoch."""
    best: dict[PoolId, RankedPool] = {}
    for part in parts:
        for pool in part.admission.pools:
            ranked = (pool.owner == part.vm, pool.epoch, pool)
            known = best.get(pool.pool)
            if known is None or ranked[:2] > known[:2]:
                best[pool.pool] = ranked
    return tuple(best[pool_id][2] for pool_id in sorted(best))


def merge_accounts(parts: Iterable[RouterStatus]) -> tuple[AccountStatus, ...]:
    """Return one entry for each service and account.

    Pool owners exchange cumulative totals, so the highest total is the
    latest; adding them up would count work more than once. A request waits
    on one router only, so waiting requests are added up.
    """
    best: dict[AccountKey, AccountStatus] = {}
    waiting: Counter[AccountKey] = Counter()
    for part in parts:
        for account in part.admission.accounts:
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
    """Join configured servers with their load as pool owners see it."""
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
    """Add the load of a pool's servers; also of those that leave."""
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
    parts: Mapping[VmId, RouterStatus],
) -> tuple[MemberView, ...]:
    """Return the members, with what those that answered told."""
    return tuple(member_view(member, parts) for member in members)


def member_view(
    member: Member,
    parts: Mapping[VmId, RouterStatus],
) -> MemberView:
    """Return one member."""
    part = parts.get(member.vm)
    return MemberView(
        vm=member.vm,
        data_centre=member.data_centre,
        state=member.state,
        operator_address=member.operator_address,
        answered=part is not None,
        phase=part.phase.value if part else None,
        revision=part.revision if part else None,
        waiting=part.admission.waiting if part else None,
    )


def merge_data_centres(
    own: Iterable[DataCentreReport],
    members: Iterable[Member],
    parts: Iterable[RouterStatus],
) -> tuple[DataCentreView, ...]:
    """Return the data centres and how many routers agree on their state."""
    homes = [member.data_centre for member in members]
    reports = [report for part in parts for report in part.data_centres]
    return tuple(
        DataCentreView(
            data_centre=report.data_centre,
            state=report.state,
            routers=homes.count(report.data_centre),
            routers_with_state=reports.count(report),
        )
        for report in own
    )
