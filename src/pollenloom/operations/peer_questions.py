"""Answers to the questions of other routers' operators' servers."""

from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.data_centre_control import (
    WAIT_SECONDS,
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

# 133 bytes each with long names: 532 KB, below the frame limit of 1 MiB.
ACCOUNTS_OF_ONE_ROUTER: Final = 4000


class PeerQuestions:
    """Serves status, event and data centre questions over the network."""

    def __init__(
        self,
        kernel: Kernel,
        reporter: FleetReporter,
        control: DataCentreControl,
    ) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.reporter = reporter
        self.control = control

    def subscribe(self) -> None:
        """Register the questions with the network between routers."""
        peers = self.dependencies.peers
        peers.answer(StatusRequest, self.answer_status)
        peers.answer(EventsRequest, self.answer_events)
        peers.answer(DataCentreStateRequest, self.answer_data_centre)

    async def answer_status(
        self,
        sender: VmId,
        request: StatusRequest,
    ) -> StatusReply:
        """Return this router's part of the status."""
        status = self.reporter.reporter.report()
        return StatusReply(status.fit(ACCOUNTS_OF_ONE_ROUTER))

    async def answer_events(
        self,
        sender: VmId,
        request: EventsRequest,
    ) -> EventsReply:
        """Return this router's event records."""
        return EventsReply(self.reporter.own_events(request.subject))

    async def answer_data_centre(
        self,
        sender: VmId,
        request: DataCentreStateRequest,
    ) -> DataCentreStateReply:
        """Return whether this router has a state, after a bounded wait."""
        reached = await self.control.reached(
            request.data_centre,
            request.state,
            min(request.wait_seconds, WAIT_SECONDS),
        )
        return DataCentreStateReply(reached)
