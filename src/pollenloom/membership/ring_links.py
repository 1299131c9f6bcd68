"""Which routers keep links with each other."""

from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import DataCentreId, VmId
    from pollenloom.membership.member import Member


class RingLinks:
    """Links of each router, computed alike by all from the member list.

    The routers of a data centre form a ring sorted by VM id. Each sends to
    those at offsets 1, 2, 4, ... on it, and to two of each other data
    centre, so news reach all in a number of hops that grows with the
    logarithm of the fleet.
    """

    def __init__(self, members: Iterable['Member']) -> None:
        self.rings: defaultdict[DataCentreId, list[VmId]] = defaultdict(list)
        self.places: dict[VmId, tuple[DataCentreId, int]] = {}
        for member in sorted(members, key=lambda member: member.vm):
            ring = self.rings[member.data_centre]
            self.places[member.vm] = (member.data_centre, len(ring))
            ring.append(member.vm)

    def targets(self, vm: 'VmId') -> frozenset['VmId']:
        """VMs to which a VM sends heartbeats."""
        data_centre, place = self.places[vm]
        targets: set[VmId] = set()
        for ring_name, ring in self.rings.items():
            if ring_name == data_centre:
                targets.update(ring_targets(ring, place))
            else:
                targets.update(remote_targets(ring, place))
        return frozenset(targets)

    def sources(self, vm: 'VmId') -> frozenset['VmId']:
        """VMs from which a VM gets heartbeats."""
        data_centre, place = self.places[vm]
        ring = self.rings[data_centre]
        backwards = list(reversed(ring))
        sources = set(ring_targets(backwards, len(ring) - 1 - place))
        for other, (other_data_centre, other_place) in self.places.items():
            if other_data_centre == data_centre:
                continue
            if vm in remote_targets(ring, other_place):
                sources.add(other)
        return frozenset(sources)


def ring_targets(ring: list['VmId'], place: int) -> Iterable['VmId']:
    """VMs at offsets 1, 2, 4, ... after a place."""
    size = len(ring)
    offset = 1
    while offset < size:
        yield ring[(place + offset) % size]
        offset *= 2


def remote_targets(ring: list['VmId'], place: int) -> tuple['VmId', 'VmId']:
    """Two VMs of another data centre, opposite each other on its ring."""
    size = len(ring)
    return ring[place % size], ring[(place + size // 2) % size]
