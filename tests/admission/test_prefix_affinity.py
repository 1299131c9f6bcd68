"""Prefix affinity changes only the server of a grant."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pollenloom.admission.demand_sender import sent_prefixes
from pollenloom.admission.messages import (
    AccountDemand,
    Demand,
    SettledGrant,
    WaitingHead,
)
from pollenloom.admission.pool_allocator import (
    Allocation,
    AllocatorOptions,
    PoolAllocator,
)
from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.admission.version_shares import UnlimitedShares
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    PoolId,
    ServerId,
    VersionId,
    VmId,
)
from pollenloom.core.states import Outcome
from tests.admission.fake_settings import SERVICE

ROUTER = VmId('r1')
POOL = PoolId('minutes/enschede/0')
SHARES = {AccountId(name): share for name, share in (('a', 1), ('b', 3))}
HEADS = 4


def make_allocator(cold_slots: int) -> PoolAllocator:
    """Return an allocator of a pool with three servers."""
    allocator = PoolAllocator(
        POOL,
        SERVICE,
        ServiceTotals(SHARES),
        UnlimitedShares(),
        AllocatorOptions(),
        'g',
    )
    server = BackendServer(
        server=ServerId('s0'),
        service=SERVICE,
        data_centre=DataCentreId('enschede'),
        version=VersionId('v1'),
        address='127.0.0.1:1',
        slots=4,
        cold_slots=cold_slots,
    )
    servers = [
        replace(server, server=ServerId(f's{number}')) for number in range(3)
    ]
    allocator.servers.replace(servers, (), 0)
    return allocator


def demand(sequence: int, random_source: random.Random) -> Demand:
    """Return demand of all accounts; all requests share one hot prefix."""
    heads = tuple(
        WaitingHead(
            hint=100, age=0, prefixes=(1, random_source.randrange(2, 5))
        )
        for _ in range(HEADS)
    )
    return Demand(
        pool=POOL,
        stream=1,
        sequence=sequence,
        acknowledged=sequence,
        accounts=tuple(
            AccountDemand(account, HEADS, heads) for account in SHARES
        ),
    )


def grant_all(allocator: PoolAllocator, now: float) -> list[Allocation]:
    """Allocate all free slots; check the order and limit of each grant."""
    granted = []
    while allocator.servers.free_slots(now) > 0:
        expected = next(allocator.queue.accounts(), None)
        allocation = allocator.allocate_one(now)
        if allocation is None:
            break
        granted.append(allocation)
        assert allocation.slot.account == expected
        state = allocator.servers.get(allocation.slot.server)
        assert state is not None
        assert state.in_flight <= state.limit_at(now)
    return granted


@given(
    seed=st.integers(0, 10_000),
    cold_slots=st.integers(1, 4),
    outcomes=st.lists(
        st.sampled_from((Outcome.SERVED, Outcome.FAILED, Outcome.REFUSED)),
        min_size=1,
        max_size=40,
    ),
)
def test_affinity_keeps_limits_and_order(
    seed: int,
    cold_slots: int,
    outcomes: list[Outcome],
) -> None:
    """Guards against a hot prefix that overloads a server or skips accounts."""
    random_source = random.Random(seed)
    allocator = make_allocator(cold_slots)
    in_use: list[Allocation] = []
    for now, outcome in enumerate(outcomes, start=1):
        allocator.apply_demand(ROUTER, demand(now, random_source), now)
        in_use += grant_all(allocator, now)
        if not in_use:
            continue
        slot = in_use.pop(random_source.randrange(len(in_use))).slot
        settled = SettledGrant(
            grant_id=slot.grant_id,
            account=slot.account,
            server=slot.server,
            outcome=outcome,
            charged=slot.charged,
            cost=random_source.choice((10, 100, 1000)),
            first_byte_seconds=0.01,
            server_cold=outcome is Outcome.REFUSED,
        )
        allocator.settle(settled, now)


def test_prompts_with_a_common_start_share_prefixes() -> None:
    """Guards against demand without the prefixes that prompts share."""
    shared = tuple(range(10))
    short = sent_prefixes((*shared, 100))
    long = sent_prefixes((*shared, 200, 201, 202, 203, 204, 205))
    assert short == long[: len(short)]
    assert short[-1] == shared[7]
