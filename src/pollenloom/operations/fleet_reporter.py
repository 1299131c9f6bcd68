"""Status and event records of the whole fleet."""

from collections.abc import Mapping
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations import fleet_merge
from pollenloom.operations.event_entry import EventEntry
from pollenloom.operations.event_report import EventReport
from pollenloom.operations.fleet_requester import FleetRequester
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

# About 150 KB at 300 bytes for each event, below the frame limit of 1 MiB.
MAX_EVENTS_PER_ROUTER: Final = 500


class FleetReporter:
    """Requests the data of other routers and merges the replies."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.fleet_requester = FleetRequester(kernel)
        self.status_reporter = StatusReporter(kernel)
        self.move_reader = MoveReader(kernel)

    async def status(self) -> FleetStatus:
        """Return the status of the fleet."""
        replies = await self.fleet_requester.request_all(
            StatusRequest(), StatusReply
        )
        local_status = self.status_reporter.report()
        statuses = {local_status.vm: local_status}
        for vm, reply in replies.items():
            if reply is not None:
                statuses[vm] = reply.status
        return self.merge(
            local_status, statuses, routers_without_reply(replies)
        )

    def merge(
        self,
        local_status: RouterStatus,
        statuses: dict[VmId, RouterStatus],
        not_answered: tuple[VmId, ...],
    ) -> FleetStatus:
        """Merge the statuses of routers into the status of the fleet."""
        members = self.dependencies.membership.members()
        pools = fleet_merge.merge_pools(statuses.values())
        configuration = self.dependencies.configuration
        servers = [
            server
            for service in configuration.current.services
            for server in configuration.servers(service)
        ]
        return FleetStatus(
            asked=local_status.vm,
            not_answered=not_answered,
            policy=local_status.admission.policy,
            waiting=sum(
                status.admission.waiting for status in statuses.values()
            ),
            configuration=self.configuration_view(statuses),
            members=fleet_merge.merge_members(members, statuses),
            data_centres=fleet_merge.merge_data_centres(
                local_status.data_centres,
                members,
                statuses.values(),
            ),
            pools=pools,
            servers=fleet_merge.merge_servers(servers, pools),
            accounts=fleet_merge.merge_accounts(statuses.values()),
            accounts_left_out=sum(
                status.accounts_left_out for status in statuses.values()
            ),
            moves=self.move_reader.moves(),
        )

    def configuration_view(
        self,
        statuses: dict[VmId, RouterStatus],
    ) -> ConfigurationView:
        """Return the configuration in force here and the routers behind it."""
        current = self.dependencies.configuration.current
        return ConfigurationView(
            revision=current.revision,
            publish_id=current.publish_id,
            publisher=current.publisher,
            services=tuple(sorted(current.services)),
            routers_behind=tuple(
                vm
                for vm, status in sorted(statuses.items())
                if status.revision < current.revision
            ),
        )

    async def events(self, subject: str) -> EventReport:
        """Return the event records of a subject from all routers."""
        replies = await self.fleet_requester.request_all(
            EventsRequest(subject), EventsReply
        )
        events = list(self.local_events(subject))
        for reply in replies.values():
            if reply is not None:
                events.extend(reply.events)
        events.sort(key=lambda event: event.at)
        return EventReport(
            subject=subject,
            events=tuple(events),
            not_answered=routers_without_reply(replies),
        )

    def local_events(self, subject: str) -> tuple[EventEntry, ...]:
        """Return the latest event records of this router, oldest first."""
        local_vm = self.dependencies.membership.local_member.vm
        latest = self.dependencies.events.find_events(subject)[
            -MAX_EVENTS_PER_ROUTER:
        ]
        return tuple(EventEntry.from_event(event, local_vm) for event in latest)


def routers_without_reply(
    replies: Mapping[VmId, PeerMessage | None],
) -> tuple[VmId, ...]:
    """Return the routers that did not reply."""
    return tuple(vm for vm, reply in replies.items() if reply is None)
