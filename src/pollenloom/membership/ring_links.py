"""Choice of the routers that keep links with each other."""

from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import DataCentreId, VmId
    from pollenloom.membership.member import Member


class RingLinks:
    """Links of each router, which every router computes from its member list.

    The routers of a data centre form a ring sorted by VM id. Each router
    sends to those at offsets 1, 2, 4, ... on its ring, and to two of each
    other data centre, so an update reaches all routers in a number of hops
    that grows with the logarithm of the fleet size.

    Attributes:
        rings: VMs of each data centre, sorted.
        positions: Data centre of each VM, and its index on the ring.
    """

    def __init__(self, members: Iterable['Member']) -> None:
        self.rings: defaultdict[DataCentreId, list[VmId]] = defaultdict(list)
        self.positions: dict[VmId, tuple[DataCentreId, int]] = {}
        for member in sorted(members, key=lambda member: member.vm):
            ring = self.rings[member.data_centre]
            self.positions[member.vm] = (member.data_centre, len(ring))
            ring.append(member.vm)

    def targets(self, vm: 'VmId') -> frozenset['VmId']:
        """VMs to which a VM sends heartbeats."""
        data_centre, position = self.positions[vm]
        targets: set[VmId] = set()
        for ring_name, ring in self.rings.items():
            if ring_name == data_centre:
                targets.update(ring_targets(ring, position))
            else:
                targets.update(remote_targets(ring, position))
        return frozenset(targets)

    def sources(self, vm: 'VmId') -> frozenset['VmId']:
        """VMs from which a VM receives heartbeats."""
        data_centre, position = self.positions[vm]
        ring = self.rings[data_centre]
        backwards = list(reversed(ring))
        sources = set(ring_targets(backwards, len(ring) - 1 - position))
        for other, (
            other_data_centre,
            other_position,
        ) in self.positions.items():
            if other_data_centre == data_centre:
                continue
            if vm in remote_targets(ring, other_position):
                sources.add(other)
        return frozenset(sources)


def ring_targets(ring: list['VmId'], position: int) -> Iterable['VmId']:
    """VMs at offsets 1, 2, 4, ... after a position on a ring."""
    size = len(ring)
    offset = 1
    while offset < size:
        yield ring[(position + offset) % size]
        offset *= 2


def remote_targets(ring: list['VmId'], position: int) -> tuple['VmId', 'VmId']:
    """Two VMs of another data centre, opposite each other on its ring.

    Both are the same VM on a ring of one.
    """
    size = len(ring)
    return ring[position % size], ring[(position + size // 2) % size]
