"""Status and event records of the whole fleet."""

from collections.abc import Mapping
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations import fleet_merge
from pollenloom.operations.event_entry import EventEntry
from pollenloom.operations.event_report import EventReport
from pollenloom.operations.fleet_inquiry import FleetInquiry
from pollenloom.operations.fleet_status import ConfigurationView, FleetStatus
from pollenloom.operations.messages import (
    EventsReply,
    EventsRequest,
    StatusReply,
    StatusRequest,
)
from pollenloom.operations.move_reader import MoveReader
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.router_status import RouterStatus
from pollenloom.operations.status_reporter import StatusReporter
from pollenloom.peers.peer_message import PeerMessage

# About 150 KB at 300 bytes each, below the frame limit of 1 MiB.
EVENTS_OF_ONE_ROUTER: Final = 500


class FleetReporter:
    """Asks the other routers for their part and merges the answers."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.inquiry = FleetInquiry(kernel)
        self.reporter = StatusReporter(kernel)
        self.moves = MoveReader(kernel)

    async def status(self) -> FleetStatus:
        """Return the status of the fleet."""
        replies = await self.inquiry.ask(StatusRequest(), StatusReply)
        own = self.reporter.report()
        parts = {own.vm: own}
        for vm, reply in replies.items():
            if reply is not None:
                parts[vm] = reply.status
        return self.merge(own, parts, missing(replies))

    def merge(
        self,
        own: RouterStatus,
        parts: dict[VmId, RouterStatus],
        not_answered: tuple[VmId, ...],
    ) -> FleetStatus:
        """Put the status together from the parts."""
        members = self.dependencies.membership.members()
        pools = fleet_merge.merge_pools(parts.values())
        configuration = self.dependencies.configuration
        servers = [
            server
            for service in configuration.current.services
            for server in configuration.servers(service)
        ]
        return FleetStatus(
            asked=own.vm,
            not_answered=not_answered,
            policy=own.admission.policy,
            waiting=sum(part.admission.waiting for part in parts.values()),
            configuration=self.configuration_view(parts),
            members=fleet_merge.merge_members(members, parts),
            data_centres=fleet_merge.merge_data_centres(
                own.data_centres,
                members,
                parts.values(),
            ),
            pools=pools,
            servers=fleet_merge.merge_servers(servers, pools),
            accounts=fleet_merge.merge_accounts(parts.values()),
            accounts_left_out=sum(
                part.accounts_left_out for part in parts.values()
            ),
            moves=self.moves.moves(),
        )

    def configuration_view(
        self,
        parts: dict[VmId, RouterStatus],
    ) -> ConfigurationView:
        """Return the configuration in force and who lags behind it."""
        current = self.dependencies.configuration.current
        return ConfigurationView(
            revision=current.revision,
            publish_id=current.publish_id,
            publisher=current.publisher,
            services=tuple(sorted(current.services)),
            routers_behind=tuple(
                vm
                for vm, part in sorted(parts.items())
                if part.revision < current.revision
            ),
        )

    async def events(self, subject: str) -> EventReport:
        """Return the event records of one subject from all routers."""
        replies = await self.inquiry.ask(EventsRequest(subject), EventsReply)
        events = list(self.own_events(subject))
        for reply in replies.values():
            if reply is not None:
                events.extend(reply.events)
        events.sort(key=lambda event: event.at)
        return EventReport(
            subject=subject,
            events=tuple(events),
            not_answered=missing(replies),
        )

    def own_events(self, subject: str) -> tuple[EventEntry, ...]:
        """Return the latest event records of this router."""
        own = self.dependencies.membership.own.vm
        latest = self.dependencies.events.about(subject)[-EVENTS_OF_ONE_ROUTER:]
        return tuple(EventEntry.from_event(event, own) for event in latest)


def missing(
    replies: Mapping[VmId, PeerMessage | None],
) -> tuple[VmId, ...]:
    """Return the routers that did not answer."""
    return tuple(vm for vm, reply in replies.items() if reply is None)
