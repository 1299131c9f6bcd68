"""Handlers of requests from the operators' servers of other routers."""

from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.data_centre_control import (
    STATE_WAIT_SECONDS,
    DataCentreControl,
)
from pollenloom.operations.fleet_reporter import FleetReporter
from pollenloom.operations.messages import (
    DataCentreStateReply,
    DataCentreStateRequest,
    EventsReply,
    EventsRequest,
    StatusReply,
    StatusRequest,
)
from pollenloom.operations.operator_dependencies import OperatorDependencies

# 532 KB at 133 bytes for each account with long names, below the frame limit
# of 1 MiB.
MAX_ACCOUNTS_PER_REPLY: Final = 4000


class PeerRequestHandlers:
    """Serves requests for status, events and data centre states."""

    def __init__(
        self,
        kernel: Kernel,
        fleet_reporter: FleetReporter,
        data_centre_control: DataCentreControl,
    ) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.fleet_reporter = fleet_reporter
        self.data_centre_control = data_centre_control

    def register(self) -> None:
        """Register the handlers with the peer network."""
        peers = self.dependencies.peers
        peers.set_request_handler(StatusRequest, self.handle_status_request)
        peers.set_request_handler(EventsRequest, self.handle_events_request)
        peers.set_request_handler(
            DataCentreStateRequest, self.handle_data_centre_state_request
        )

    async def handle_status_request(
        self,
        sender: VmId,
        request: StatusRequest,
    ) -> StatusReply:
        """Return the status of this router, limited to the size of a frame."""
        status = self.fleet_reporter.status_reporter.report()
        return StatusReply(status.limit_accounts(MAX_ACCOUNTS_PER_REPLY))

    async def handle_events_request(
        self,
        sender: VmId,
        request: EventsRequest,
    ) -> EventsReply:
        """Return the event records of this router."""
        return EventsReply(self.fleet_reporter.local_events(request.subject))

    async def handle_data_centre_state_request(
        self,
        sender: VmId,
        request: DataCentreStateRequest,
    ) -> DataCentreStateReply:
        """Return whether this router has a state, after a bounded wait."""
        reached = await self.data_centre_control.wait_for_state(
            request.data_centre,
            request.state,
            min(request.wait_seconds, STATE_WAIT_SECONDS),
        )
        return DataCentreStateReply(reached)
