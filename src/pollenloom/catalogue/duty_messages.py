"""Datagrams about duties and about the requests that began."""

from typing import Annotated, Final

import msgspec

from pollenloom.core.ids import (
    AccountId,
    FencingNumber,
    Offset,
    StoreEra,
    VmId,
    WindowNumber,
)
from pollenloom.duties.duty import Duty

MAX_NUMBER: Final = 2**63 - 1

WireNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
WireFencingNumber = Annotated[FencingNumber, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class DutyNotice(msgspec.Struct, frozen=True):
    """Latest write of the holder of a duty, as far as the sender knows.

    Attributes:
        duty: The duty.
        holder: Router that holds it.
        number: Its fencing number.
        era: Era of the store that took the write.
        end: End of the topic after the write.
        is_released: Whether the holder has given the duty up.
    """

    duty: Duty
    holder: VmId
    number: WireFencingNumber
    era: Annotated[StoreEra, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    end: Annotated[Offset, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    is_released: bool = False


class DutyNoticesMessage(msgspec.Struct, frozen=True, tag='duties'):
    """What the sender knows of the holders of duties."""

    router: VmId
    notices: list[DutyNotice]


class WindowCount(msgspec.Struct, frozen=True):
    """Requests that began at one router in one window.

    Attributes:
        window: Number of the window.
        began: Requests by client account.
        is_final: Whether the window has ended at the router.
    """

    window: Annotated[WindowNumber, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    began: dict[AccountId, WireNumber]
    is_final: bool


class WindowCountsMessage(msgspec.Struct, frozen=True, tag='began'):
    """Counts of the sender, for the holder of the duty to report them.

    Attributes:
        router: Sender.
        process: Random id of its process, whose counts start at zero.
        counts: Counts of some windows, as of now.
    """

    router: VmId
    process: str
    counts: list[WindowCount]


class WindowReceiptMessage(msgspec.Struct, frozen=True, tag='received'):
    """Confirms final counts to their sender.

    Attributes:
        router: Holder of the duty.
        number: Its fencing number; a later holder needs the counts again.
        windows: Windows whose final counts it has received.
        settled: Last of the windows that need no counts any more.
    """

    router: VmId
    number: WireFencingNumber
    windows: list[WindowNumber]
    settled: WindowNumber
