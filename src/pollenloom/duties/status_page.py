"""Status of the duties over HTTP, for operators."""

from http import HTTPStatus
from typing import Final

import msgspec

from pollenloom.duties.duty import Duty
from pollenloom.duties.duty_status import DutyStatus
from pollenloom.duties.recorded_duty_keeper import RecordedDutyKeeper

DUTIES_PATH: Final = '/duties'
GIVE_UP_ENDING: Final = '/give-up'


class DutyStatusList(msgspec.Struct, frozen=True):
    """Body of the status.

    Attributes:
        duties: The duties as one router knows them.
    """

    duties: list[DutyStatus]


class DutyStatusPage:
    """Responds to requests below `DUTIES_PATH`."""

    def __init__(self, keeper: RecordedDutyKeeper) -> None:
        self.keeper = keeper

    def respond(
        self, method: bytes, path: str, now: float
    ) -> tuple[HTTPStatus, bytes]:
        """Return status and body; `now` is in monotonic seconds.

        `GET /duties` shows the duties. `POST /duties/<duty>/give-up` makes this
        router give one up, with status 409 if it does not hold it.
        """
        status = HTTPStatus.NOT_FOUND
        if method == b'GET' and path == DUTIES_PATH:
            status = HTTPStatus.OK
        if method == b'POST':
            status = self.give_up(path)
        if status is not HTTPStatus.OK:
            return status, b''
        content = DutyStatusList(list(self.keeper.statuses(now)))
        return status, msgspec.json.encode(content)

    def give_up(self, path: str) -> HTTPStatus:
        """Give up the duty that a path names."""
        for duty in Duty:
            if f'{DUTIES_PATH}/{duty.value}{GIVE_UP_ENDING}' == path:
                was_held = self.keeper.give_up(duty)
                return HTTPStatus.OK if was_held else HTTPStatus.CONFLICT
        return HTTPStatus.NOT_FOUND
