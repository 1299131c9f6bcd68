"""What the membership tells other services."""

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


Places = tuple[tuple['VmId', 'DataCentreId'], ...]


class FleetView:
    """Lists and rankings derived from the table, made once for each change.

    Attributes:
        members: Entries that are not dead, sorted by VM id.
        live: Live VMs, sorted.
        targets: VMs to which this VM sends heartbeats.
        sources: VMs from which this VM gets heartbeats.
    """

    def __init__(self, table: 'MemberTable') -> None:
        self.table = table
        self.version = -1
        self.listeners: list[Callable[[], None]] = []
        self.members: tuple[Member, ...] = ()
        self.live: tuple[VmId, ...] = ()
        self.places: Places = ()
        self.live_places: Places = ()
        self.targets: frozenset[VmId] = frozenset()
        self.sources: frozenset[VmId] = frozenset()
        self.rankings: dict[DataCentreId | None, RendezvousRanking] = {}
        self.refresh()

    def refresh(self) -> None:
        """Follow the table; tell the listeners if the live set changed."""
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
        live_places = places_of(live)
        if live_places != self.live_places:
            self.live_places = live_places
            self.live = tuple(member.vm for member in live)
            self.rankings.clear()
            self.notify()

    def refresh_links(self) -> None:
        """Compute the links anew if VMs came or went."""
        places = places_of(self.members)
        if places != self.places:
            self.places = places
            links = RingLinks(self.members)
            self.targets = links.targets(self.table.own.vm)
            self.sources = links.sources(self.table.own.vm)

    def live_in(self, data_centre: 'DataCentreId') -> tuple['VmId', ...]:
        """Live VMs of one data centre, sorted."""
        return tuple(
            vm for vm, place in self.live_places if place == data_centre
        )

    def ranked(
        self,
        key: str,
        data_centre: 'DataCentreId | None',
    ) -> tuple['VmId', ...]:
        """Live VMs by rank, of one data centre if it has any."""
        if not self.live:
            # All are leaving; they must still agree on the owners.
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
        """Call the listeners; one that raises harms no other one."""
        for listener in self.listeners:
            try:
                listener()
            except Exception:
                logging.exception('membership_listener_failed')


def places_of(members: 'Iterable[Member]') -> Places:
    """VMs and their data centres."""
    return tuple((member.vm, member.data_centre) for member in members)
