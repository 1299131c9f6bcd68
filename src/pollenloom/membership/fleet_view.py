"""View of the fleet that other services use."""

from typing import TYPE_CHECKING

from absl import logging

from pollenloom.core.states import MemberState
from pollenloom.membership.rendezvous_ranking import RendezvousRanking
from pollenloom.membership.ring_links import RingLinks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pollenloom.core.ids import DataCentreId, VmId
    from pollenloom.membership.member import Member
    from pollenloom.membership.member_table import MemberTable


VmLocations = tuple[tuple['VmId', 'DataCentreId'], ...]


class FleetView:
    """Lists and rankings of members, updated after changes of the table.

    Attributes:
        version: Version of the table that this view reflects.
        listeners: Called after each change of the set of live VMs.
        members: Entries that are not dead, sorted by VM id.
        live: Live VMs, sorted.
        locations: VMs that are not dead, with their data centres.
        live_locations: Live VMs with their data centres.
        targets: VMs to which this VM sends heartbeats.
        sources: VMs from which this VM receives heartbeats.
        rankings: Cached rankings by data centre; None for the whole fleet.
    """

    def __init__(self, table: 'MemberTable') -> None:
        self.table = table
        self.version = -1
        self.listeners: list[Callable[[], None]] = []
        self.members: tuple[Member, ...] = ()
        self.live: tuple[VmId, ...] = ()
        self.locations: VmLocations = ()
        self.live_locations: VmLocations = ()
        self.targets: frozenset[VmId] = frozenset()
        self.sources: frozenset[VmId] = frozenset()
        self.rankings: dict[DataCentreId | None, RendezvousRanking] = {}
        self.refresh()

    def refresh(self) -> None:
        """Update from the table; notify listeners if the live set changed."""
        if self.version == self.table.version:
            return
        self.version = self.table.version
        self.members = tuple(
            sorted(
                (
                    member
                    for member in self.table.entries.values()
                    if member.state is not MemberState.DEAD
                ),
                key=lambda member: member.vm,
            ),
        )
        self.refresh_links()
        live = tuple(member for member in self.members if member.is_live)
        live_locations = locations_of(live)
        if live_locations != self.live_locations:
            self.live_locations = live_locations
            self.live = tuple(member.vm for member in live)
            self.rankings.clear()
            self.notify()

    def refresh_links(self) -> None:
        """Recompute the links if the VMs or their data centres changed."""
        locations = locations_of(self.members)
        if locations != self.locations:
            self.locations = locations
            links = RingLinks(self.members)
            self.targets = links.targets(self.table.local_member.vm)
            self.sources = links.sources(self.table.local_member.vm)

    def live_in(self, data_centre: 'DataCentreId') -> tuple['VmId', ...]:
        """Live VMs of one data centre, sorted."""
        return tuple(
            vm
            for vm, location in self.live_locations
            if location == data_centre
        )

    def ranked(
        self,
        key: str,
        data_centre: 'DataCentreId | None',
    ) -> tuple['VmId', ...]:
        """Live VMs by rank, only of the data centre if it has any.

        Args:
            key: Key to rank for.
            data_centre: None ranks the VMs of all data centres.
        """
        if not self.live:
            # All routers are leaving and must still agree on the owners.
            leaving = (member.vm for member in self.members)
            return RendezvousRanking(leaving).ranked(key)
        ranking = self.rankings.get(data_centre)
        if ranking is None:
            vms = self.live
            if data_centre is not None:
                vms = self.live_in(data_centre) or self.live
            ranking = RendezvousRanking(vms)
            self.rankings[data_centre] = ranking
        return ranking.ranked(key)

    def notify(self) -> None:
        """Call the listeners; an error in one is logged and skips no other."""
        for listener in self.listeners:
            try:
                listener()
            except Exception:
                logging.exception('membership_listener_failed')


def locations_of(members: 'Iterable[Member]') -> VmLocations:
    """Return the VMs of members with their data centres."""
    return tuple((member.vm, member.data_centre) for member in members)
