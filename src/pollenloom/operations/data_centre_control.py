"""Takes data centres out of service and brings them back."""

import asyncio
from typing import Final

from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel import Kernel
from pollenloom.operations.data_centre_change_progress import (
    DataCentreChangeProgress,
)
from pollenloom.operations.fleet_inquiry import ANSWER_SECONDS, FleetInquiry
from pollenloom.operations.messages import (
    DataCentreStateReply,
    DataCentreStateRequest,
)
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.status_reporter import StatusReporter

# The others answer before the limit of the question runs out.
WAIT_SECONDS: Final = ANSWER_SECONDS * 0.7


class DataCentreControl:
    """Sets the state of a data centre and follows how it spreads."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.inquiry = FleetInquiry(kernel)
        self.reporter = StatusReporter(kernel)
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait for a state; called after each change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def change(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> Result[DataCentreChangeProgress, Failure]:
        """Set a state; return how many routers have it after a short wait.

        Errors:
            INVALID_REQUEST: No service or router names the data centre.
            INTERNAL: This router did not take the state over.
        """
        known = self.reporter.data_centres()
        # A router that knows no configuration yet cannot tell a wrong id.
        if (
            data_centre not in known
            and self.dependencies.configuration.current.revision
        ):
            return Error(unknown_data_centre(data_centre, known))
        self.dependencies.events.record(
            'data_centre_change_requested',
            data_centre,
            state=state.value,
            reason='an operator asked for it',
        )
        self.dependencies.configuration.set_data_centre_state(
            data_centre, state
        )
        if not await self.reached(data_centre, state, WAIT_SECONDS):
            detail = f'{data_centre} did not become {state.value} here'
            return Error(Failure(ErrorKind.INTERNAL, detail))
        return Ok(await self.count(data_centre, state))

    async def count(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> DataCentreChangeProgress:
        """Ask all other routers whether they have a state."""
        request = DataCentreStateRequest(data_centre, state, WAIT_SECONDS)
        replies = await self.inquiry.ask(request, DataCentreStateReply)
        without = tuple(
            vm
            for vm, reply in replies.items()
            if reply is None or not reply.reached
        )
        routers = len(replies) + 1
        return DataCentreChangeProgress(
            data_centre=data_centre,
            state=state,
            routers=routers,
            routers_with_state=routers - len(without),
            missing=without,
        )

    async def reached(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
        wait_seconds: float,
    ) -> bool:
        """Wait until this router has a state; return whether it has."""
        try:
            async with asyncio.timeout(wait_seconds):
                while not self.has(data_centre, state):
                    await self.changed.wait()
        except TimeoutError:
            return self.has(data_centre, state)
        return True

    def has(self, data_centre: DataCentreId, state: DataCentreState) -> bool:
        """Whether this router has a state."""
        return (
            self.dependencies.configuration.data_centre_state(data_centre)
            is state
        )


def unknown_data_centre(
    data_centre: DataCentreId,
    known: tuple[DataCentreId, ...],
) -> Failure:
    """Return the failure for an id that nothing names."""
    names = ', '.join(known)
    return Failure(
        ErrorKind.INVALID_REQUEST,
        f'no data centre named {data_centre!r}; known: {names}',
    )
