"""Interface of the platform's store."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from expression import Result

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import OperatorChange
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset, StoreEra
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.server_entry import ServerEntry


class KeyedStore(KernelService):
    """Topics of records with keys, and the decoding of their values.

    Calls fail with PLATFORM_UNAVAILABLE, or with PLATFORM_UNKNOWN if a write
    may have taken effect.

    Attributes:
        era: Latest era of the store that a response has told. It rises when
            the store comes back from an older copy of itself.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.KEYED_STORE

    era: StoreEra

    @abstractmethod
    def watch_era(self, listener: Callable[[], None]) -> None:
        """Call the listener each time that the store has a later era.

        What routers wrote since the copy is then lost. The first era that a
        response tells is not a later one.
        """

    @abstractmethod
    async def newest(self, topic: StoreTopic) -> Result[Listing, Failure]:
        """Return the newest record of each key."""

    @abstractmethod
    async def changes(
        self,
        topic: StoreTopic,
        start: Offset,
        wait_seconds: float,
    ) -> Result[Listing, Failure]:
        """Return records from an offset on.

        If there are none yet, wait up to `wait_seconds` for the first one.
        """

    @abstractmethod
    async def put(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
    ) -> Result[Offset, Failure]:
        """Append a record; return its offset."""

    @abstractmethod
    async def put_at(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
        end: Offset,
    ) -> Result[Offset, Failure]:
        """Append a record if the topic ends at `end`; return its offset.

        A write that failed may still take effect while the topic ends there.
        """

    @abstractmethod
    async def put_move_status(
        self,
        status: MoveStatus,
        end: Offset,
    ) -> Result[Offset, Failure]:
        """Append the state of a move; return its offset.

        Nothing is written if the topic does not end at `end`, which means that
        another router has written a state since.
        """

    @abstractmethod
    def read_move_status(
        self,
        record: KeyedRecord,
    ) -> Result[MoveStatus | None, Failure]:
        """Decode the state of a move; None for a record of another kind."""

    @abstractmethod
    def read_operator_change(
        self,
        record: KeyedRecord,
    ) -> Result[OperatorChange, Failure]:
        """Decode an operator's record."""

    @abstractmethod
    def read_server(self, record: KeyedRecord) -> Result[ServerEntry, Failure]:
        """Decode a server's entry; the payload must not be empty."""
