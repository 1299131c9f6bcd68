"""Choice of links between routers, and rendezvous ranking."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.membership.rendezvous_ranking import RendezvousRanking
from pollenloom.membership.ring_links import RingLinks
from tests.membership.test_member_table import entry


def links_of(sizes: list[int]) -> RingLinks:
    """Return the links of a fleet, given the VMs in each data centre."""
    return RingLinks(
        msgspec.structs.replace(
            entry(f'vm-{data_centre}-{number:03}'),
            data_centre=DataCentreId(f'centre-{data_centre}'),
        )
        for data_centre, size in enumerate(sizes)
        for number in range(size)
    )


@given(sizes=st.lists(st.integers(1, 20), min_size=1, max_size=5))
def test_sources_are_the_inverse_of_targets(sizes: list[int]) -> None:
    """Guards against a router that waits for heartbeats no router sends."""
    links = links_of(sizes)
    for vm in links.positions:
        assert vm not in links.targets(vm)
        assert links.sources(vm) == {
            other for other in links.positions if vm in links.targets(other)
        }


@pytest.mark.parametrize('sizes', [[8], [3, 3, 2], [64, 64, 64], [1, 40]])
def test_updates_reach_all_routers_in_few_hops(sizes: list[int]) -> None:
    """Guards against too many links and against unreachable routers."""
    links = links_of(sizes)
    doublings = math.ceil(math.log2(max(sizes)))
    for start in links.positions:
        assert len(links.targets(start)) <= doublings + 2 * len(sizes)
        reached = {start}
        for _ in range(doublings + 2):
            reached.update(*[links.targets(vm) for vm in reached])
        assert reached == links.positions.keys()


def test_loss_of_a_vm_moves_only_its_keys() -> None:
    """Guards against pools that change owners unnecessarily."""
    vms = [VmId(f'vm-{number}') for number in range(8)]
    before = RendezvousRanking(vms)
    after = RendezvousRanking(vms[1:])
    owned = 0
    for key in map(str, range(400)):
        first, second = before.ranked(key)[:2]
        owned += first == vms[0]
        assert after.ranked(key)[0] == (second if first == vms[0] else first)
    assert 25 <= owned <= 85
