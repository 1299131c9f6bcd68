"""Log lines of routers that tell what client accounts asked and got."""

from collections.abc import Iterator
from datetime import datetime
from typing import Final

import msgspec

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.observability.event_name import EventName
from pollenloom_standins.shares.account_second import AccountSecond

MARK: Final = f'"{EventName.ACCOUNT_SHARES.value}"'


class ShareFields(msgspec.Struct, frozen=True):
    """Fields of the event; all but two are lists, separated by commas.

    Attributes:
        second: Begin of the second, in seconds since the Unix epoch.
        left_out: Accounts that are not listed.
    """

    second: int
    accounts: str
    asked: str
    sent: str
    begun: str
    refused: str
    late: str
    largest: str
    beyond: str
    no_room: str
    not_begun: str
    repeated: str
    surplus: str
    left_out: int

    def activities(self) -> Iterator[tuple[AccountId, AccountSecond]]:
        """Yield what each listed account asked and got."""
        columns = (
            self.asked,
            self.sent,
            self.begun,
            self.refused,
            self.late,
            self.largest,
            self.beyond,
            self.no_room,
            self.not_begun,
            self.repeated,
            self.surplus,
        )
        rows = zip(
            self.accounts.split(','),
            *(map(int, column.split(',')) for column in columns),
            strict=True,
        )
        for account, *numbers in rows:
            yield AccountId(account), AccountSecond(*numbers)


class ShareLine(msgspec.Struct, frozen=True):
    """One log line of a router.

    Attributes:
        time: When it was written, in RFC 3339 form.
        subject: The service.
        fields: What accounts asked and got of it within a second.
    """

    time: datetime
    subject: ServiceId
    fields: ShareFields


def parse_line(line: str) -> tuple[ShareLine, float] | None:
    """Return a line and the time at which the run began; None for others.

    A line may follow the time of the run and the name of the router. Without
    them the run begins at the Unix epoch, so that its times are wall times.

    Raises:
        msgspec.DecodeError: If the line is cut off.
    """
    if MARK not in line:
        return None
    prefix, brace, text = line.partition('{')
    decoded = msgspec.json.decode(brace + text, type=ShareLine)
    words = prefix.split()
    if not words:
        return decoded, 0
    return decoded, decoded.time.timestamp() - float(words[0])
