"""Drain and restore of data centres."""

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
from pollenloom.operations.fleet_requester import (
    REPLY_TIMEOUT_SECONDS,
    FleetRequester,
)
from pollenloom.operations.messages import (
    DataCentreStateReply,
    DataCentreStateRequest,
)
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.status_reporter import StatusReporter

# Other routers reply before the request for their state times out.
STATE_WAIT_SECONDS: Final = REPLY_TIMEOUT_SECONDS * 0.7


class DataCentreControl:
    """Sets the state of a data centre and counts the routers that have it."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)
        self.fleet_requester = FleetRequester(kernel)
        self.status_reporter = StatusReporter(kernel)
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait for a state; called after each change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def change(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> Result[DataCentreChangeProgress, Failure]:
        """Set a state; return how many routers have it after a bounded wait.

        Errors:
            INVALID_REQUEST: No service or router has the data centre.
            INTERNAL: This router did not apply the state in time.
        """
        known_data_centres = self.status_reporter.data_centres()
        # Without a configuration, the router cannot recognize an unknown id.
        if (
            data_centre not in known_data_centres
            and self.dependencies.configuration.current.revision
        ):
            return Error(unknown_data_centre(data_centre, known_data_centres))
        self.dependencies.events.record(
            'data_centre_change_requested',
            data_centre,
            state=state.value,
            reason='requested by an operator',
        )
        self.dependencies.configuration.set_data_centre_state(
            data_centre, state
        )
        if not await self.wait_for_state(
            data_centre, state, STATE_WAIT_SECONDS
        ):
            detail = f'{data_centre} was not set to {state.value} in time'
            return Error(Failure(ErrorKind.INTERNAL, detail))
        return Ok(await self.count_routers(data_centre, state))

    async def count_routers(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> DataCentreChangeProgress:
        """Ask all other routers for a state; return how many have it."""
        request = DataCentreStateRequest(data_centre, state, STATE_WAIT_SECONDS)
        replies = await self.fleet_requester.request_all(
            request, DataCentreStateReply
        )
        missing = tuple(
            vm
            for vm, reply in replies.items()
            if reply is None or not reply.reached
        )
        routers = len(replies) + 1
        return DataCentreChangeProgress(
            data_centre=data_centre,
            state=state,
            routers=routers,
            routers_with_state=routers - len(missing),
            missing=missing,
        )

    async def wait_for_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
        wait_seconds: float,
    ) -> bool:
        """Wait for a state on this router; return whether it is in force.

        Returns early once it is, at the latest after `wait_seconds`.
        """
        try:
            async with asyncio.timeout(wait_seconds):
                while not self.has_state(data_centre, state):
                    await self.changed.wait()
        except TimeoutError:
            return self.has_state(data_centre, state)
        return True

    def has_state(
        self, data_centre: DataCentreId, state: DataCentreState
    ) -> bool:
        """Whether this router has a state in force."""
        return (
            self.dependencies.configuration.data_centre_state(data_centre)
            is state
        )


def unknown_data_centre(
    data_centre: DataCentreId,
    known_data_centres: tuple[DataCentreId, ...],
) -> Failure:
    """Return the failure for an id that no service or router has."""
    names = ', '.join(known_data_centres)
    return Failure(
        ErrorKind.INVALID_REQUEST,
        f'no data centre named {data_centre!r}; known: {names}',
    )
