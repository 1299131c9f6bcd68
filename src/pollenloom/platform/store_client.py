"""HTTP client of the platform's store; a process has one."""

import base64
import re
from dataclasses import dataclass, replace
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Annotated, Final, Self

import aiohttp
import msgspec
from absl import logging
from expression import Error, Ok, Result

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import (
    DataCentreDirective,
    NewConfiguration,
    OperatorChange,
    UnrelatedChange,
)
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.http_statuses import is_final_status
from pollenloom.core.ids import (
    NO_ERA,
    DataCentreId,
    Offset,
    ServerId,
    ServiceId,
    StoreEra,
)
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.platform import record_frames, wire_names
from pollenloom.platform.configuration_codec import decode_configuration
from pollenloom.platform.move_codec import (
    decode_move_order,
    decode_move_status,
    encode_move_status,
)
from pollenloom.platform.server_entry_codec import decode_server_entry
from pollenloom.transport.bounded_body import (
    BodyTooLongError,
    read_bounded,
)
from pollenloom.transport.renewable_session import RenewableSession
from pollenloom.transport.shielded_connector import ShieldedConnector
from pollenloom.validation.untrusted_bytes import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from pollenloom.routing.server_entry import ServerEntry
    from pollenloom.settings.node_settings import StoreSettings

TOPICS: Final = MappingProxyType(
    {
        StoreTopic.OPERATOR: wire_names.OPERATOR_TOPIC,
        StoreTopic.SERVERS: wire_names.SERVERS_TOPIC,
        StoreTopic.NODES: wire_names.NODES_TOPIC,
        StoreTopic.BLOCKS: wire_names.BLOCKS_TOPIC,
        StoreTopic.MOVES: wire_names.STATUS_TOPIC,
        StoreTopic.USAGE_DUTY: wire_names.USAGE_DUTY_TOPIC,
        StoreTopic.SCALING_DUTY: wire_names.SCALING_DUTY_TOPIC,
    }
)
# Keyed topics have a single partition.
PARTITION: Final = 0
MAX_RESPONSE_KB: Final = 1024
# Pages have about 1 MiB, and more only if a single record is larger.
MAX_RESPONSE_BYTES: Final = 8_388_608
# Offsets have 64 bits in the responses to reads.
MAX_OFFSET: Final = 2**63 - 1
# A reachable store accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_SECONDS: Final = 0.4


# Eras are small whole numbers without a sign.
ERA: Final = re.compile(r'[0-9]{1,18}')

WireOffset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


class NewestItem(msgspec.Struct, frozen=True):
    """A record with its value in base64."""

    key: str
    value: str
    offset: WireOffset


class NewestRecordsResponse(msgspec.Struct, frozen=True):
    """A page of the newest records of a topic.

    Attributes:
        items: Encoded items, so that an invalid one does not cost the others.
        truncated: Whether more pages follow.
        end: End offset of the topic when the page was read.
    """

    items: tuple[msgspec.Raw, ...]
    truncated: bool
    end: WireOffset


class StoreAppendResponse(msgspec.Struct, frozen=True):
    """Response to an append, with the offset of its first record."""

    offset: WireOffset


@dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of the newest records.

    Attributes:
        listing: The records of the page.
        last_key: Key after which the next page starts; None on the last page.
    """

    listing: Listing
    last_key: str | None = None


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Response of the store, of the era that it belongs to."""

    status: int
    body: bytes
    era: StoreEra


class StoreClient(KeyedStore):
    """Accesses the store over HTTP."""

    def __init__(self, address: str, timeout_seconds: float) -> None:
        self.address = address
        self.timeout_seconds = timeout_seconds
        self.opened_session: RenewableSession | None = None
        self.era = NO_ERA
        self.era_listeners: list[Callable[[], None]] = []

    @classmethod
    def from_config(cls, settings: 'StoreSettings') -> Self:
        """Create a client from the store settings."""
        return cls(settings.address, settings.timeout_seconds)

    async def start(self) -> None:
        """Open the HTTP session; this does not contact the store."""
        self.opened_session = RenewableSession(open_session)

    async def stop(self) -> None:
        """Close the HTTP session and its connections."""
        if self.opened_session is not None:
            await self.opened_session.close()
        self.opened_session = None

    async def newest(self, topic: StoreTopic) -> Result[Listing, Failure]:
        """Return the newest records; see `KeyedStore.newest`.

        Pages are not a snapshot. The listing therefore ends at the end
        offset of the first page, so that later changes are read again.
        """
        query = {'topic': TOPICS[topic], 'part': str(PARTITION)}
        pages: list[Listing] = []
        while True:
            read = await self.read_page(query)
            if read.is_error():
                return Error(read.error)
            page: NewestPage = read.ok
            pages.append(page.listing)
            if page.last_key is None:
                return join_pages(pages)
            if page.last_key == query.get('after', ''):
                return Error(unavailable_failure('log-newest: no progress'))
            query['after'] = page.last_key

    async def read_page(
        self,
        query: 'Mapping[str, str]',
    ) -> Result[NewestPage, Failure]:
        """Fetch and decode one page of the newest records."""
        called = await self.call('GET', '/log-newest', query)
        if called.is_error():
            return Error(called.error)
        response = called.ok
        if response.status != HTTPStatus.OK:
            return Error(
                unavailable_failure(f'log-newest: status {response.status}')
            )
        return (
            decode_json(response.body, NewestRecordsResponse)
            .map_error(
                lambda failure: unavailable_failure(
                    f'log-newest: invalid response: {failure.detail}'
                )
            )
            .map(lambda page: read_newest_page(page, response.era))
        )

    async def changes(
        self,
        topic: StoreTopic,
        start: Offset,
        wait_seconds: float,
    ) -> Result[Listing, Failure]:
        """Return records from an offset on; see `KeyedStore.changes`.

        The store waits up to `wait_seconds` for the first record.
        """
        called = await self.call(
            'GET',
            '/log-read',
            {
                'topic': TOPICS[topic],
                'part': str(PARTITION),
                'from': str(start),
                'max_kb': str(MAX_RESPONSE_KB),
                'wait_ms': str(round(wait_seconds * MILLISECONDS_PER_SECOND)),
            },
            wait_seconds,
        )
        if called.is_error():
            return Error(called.error)
        response = called.ok
        if response.status == HTTPStatus.GONE:
            return Ok(Listing((), start, is_gap=True, era=response.era))
        if response.status != HTTPStatus.OK:
            return Error(
                unavailable_failure(f'log-read: status {response.status}')
            )
        return record_frames.decode_page(response.body, start).map(
            lambda listing: replace(listing, era=response.era)
        )

    async def put(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
    ) -> Result[Offset, Failure]:
        """Append a record; see `KeyedStore.put`."""
        return await self.append(topic, key, payload, {})

    async def put_at(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
        end: Offset,
    ) -> Result[Offset, Failure]:
        """Append a record; see `KeyedStore.put_at`."""
        return await self.append(topic, key, payload, {'at': str(end)})

    async def put_move_status(
        self,
        status: MoveStatus,
        end: Offset,
    ) -> Result[Offset, Failure]:
        """Append the state of a move; see `KeyedStore.put_move_status`."""
        return await self.append(
            StoreTopic.MOVES,
            f'{wire_names.ROLLOUT_PREFIX}{status.service}',
            encode_move_status(status),
            {'at': str(end)},
        )

    async def append(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
        condition: 'Mapping[str, str]',
    ) -> Result[Offset, Failure]:
        """Append a record, with the condition in the query."""
        called = await self.call(
            'POST',
            '/log-append',
            {'topic': TOPICS[topic], 'part': str(PARTITION), **condition},
            body=record_frames.encode_record(key, payload),
        )
        if called.is_error():
            return Error(called.error)
        response = called.ok
        if response.status != HTTPStatus.OK:
            detail = f'log-append: status {response.status}'
            if is_refusal(response.status):
                return Error(unavailable_failure(detail))
            return Error(unanswered_failure('POST', detail))
        decoded = decode_json(response.body, StoreAppendResponse)
        if decoded.is_error():
            detail = f'log-append: invalid response: {decoded.error.detail}'
            return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, detail))
        return Ok(Offset(decoded.ok.offset))

    async def call(
        self,
        method: str,
        path: str,
        query: 'Mapping[str, str]',
        wait_seconds: float = 0,
        body: bytes = b'',
    ) -> Result[StoreResponse, Failure]:
        """Make one HTTP call; return the response.

        Args:
            method: HTTP method.
            path: Path of the call.
            query: Query parameters.
            wait_seconds: Time that the store may wait before it responds,
                added to the timeout.
            body: Request body.
        """
        if self.opened_session is None:
            return Error(unavailable_failure('the store client is not started'))
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_seconds + wait_seconds,
            connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self.opened_session.request(
                method,
                f'http://{self.address}{path}',
                params=query,
                data=body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await read_bounded(response, MAX_RESPONSE_BYTES)
                if not is_final_status(response.status):
                    return Error(
                        unanswered_failure(
                            method,
                            f'{path[1:]}: status {response.status:03} '
                            'is no response',
                        )
                    )
                told = response.headers.get(wire_names.STORE_ERA)
                return self.check_era(told).map(
                    lambda era: StoreResponse(response.status, content, era)
                )
        except (aiohttp.ClientError, OSError, BodyTooLongError) as error:
            return Error(unanswered_failure(method, f'{path[1:]}: {error!r}'))

    def check_era(self, told: str | None) -> Result[StoreEra, Failure]:
        """Return the era of a response.

        One without a valid era, such as that of a proxy, is taken for one of
        the latest era.

        Errors:
            PLATFORM_UNAVAILABLE: The response was sent before the store came
                back from an older copy.
        """
        era = self.era
        if told is not None and ERA.fullmatch(told):
            era = StoreEra(int(told))
        if era < self.era:
            return Error(unavailable_failure(f'a response of era {era}'))
        is_restored = NO_ERA < self.era < era
        self.era = era
        if is_restored:
            for listener in self.era_listeners:
                listener()
        return Ok(era)

    def watch_era(self, listener: 'Callable[[], None]') -> None:
        """Call the listener with each later era; see `KeyedStore`."""
        self.era_listeners.append(listener)

    def read_operator_change(
        self,
        record: KeyedRecord,
    ) -> Result[OperatorChange, Failure]:
        """Decode a record of the operators' topic."""
        if record.key == wire_names.CONFIGURATION_KEY:
            return decode_configuration(record.payload).map(NewConfiguration)
        if record.key.startswith(wire_names.EVACUATION_PREFIX):
            return Ok(
                DataCentreDirective(
                    data_centre=DataCentreId(
                        record.key.removeprefix(wire_names.EVACUATION_PREFIX),
                    ),
                    is_out=bool(record.payload),
                )
            )
        if record.key.startswith(wire_names.ROLLOUT_PREFIX):
            service = record.key.removeprefix(wire_names.ROLLOUT_PREFIX)
            return decode_move_order(
                ServiceId(service), record.payload, record.offset
            )
        return Ok(UnrelatedChange(record.key))

    def read_move_status(
        self,
        record: KeyedRecord,
    ) -> Result[MoveStatus | None, Failure]:
        """Decode the state of a move; see `KeyedStore.read_move_status`."""
        if not record.key.startswith(wire_names.ROLLOUT_PREFIX):
            return Ok(None)
        service = record.key.removeprefix(wire_names.ROLLOUT_PREFIX)
        return decode_move_status(ServiceId(service), record.payload)

    def read_server(
        self,
        record: KeyedRecord,
    ) -> 'Result[ServerEntry, Failure]':
        """Decode the entry of a backend server; see `decode_server_entry`."""
        return decode_server_entry(ServerId(record.key), record.payload)


def open_session() -> aiohttp.ClientSession:
    """Open an HTTP session; this does not contact the store."""
    return aiohttp.ClientSession(connector=ShieldedConnector())


def read_newest_page(page: NewestRecordsResponse, era: StoreEra) -> NewestPage:
    """Return the records of a page, and the last key if more pages follow."""
    found = read_items(page.items)
    listing = Listing(tuple(found), Offset(page.end), era=era)
    if not page.truncated:
        return NewestPage(listing)
    return NewestPage(listing, found[-1].key if found else '')


def join_pages(pages: 'Sequence[Listing]') -> Result[Listing, Failure]:
    """Return the listing with the records of all pages.

    Errors:
        PLATFORM_UNAVAILABLE: The store has come back from an older copy
            between the pages.
    """
    if len({page.era for page in pages}) > 1:
        return Error(unavailable_failure('log-newest: the era has changed'))
    records = tuple(record for page in pages for record in page.records)
    return Ok(replace(pages[0], records=records))


def read_items(items: 'Iterable[msgspec.Raw]') -> list[KeyedRecord]:
    """Return the records of a page; log the items that are not valid."""
    decoded = [decode_json(bytes(item), NewestItem) for item in items]
    rejected = [each.error.detail for each in decoded if each.is_error()]
    if rejected:
        logging.warning(
            'store_items_rejected %d, first: %s', len(rejected), rejected[0]
        )
    return [read_item(each.ok) for each in decoded if each.is_ok()]


def read_item(item: NewestItem) -> KeyedRecord:
    """Return the record of an item; a value not in base64 stays as it is."""
    try:
        payload = base64.b64decode(item.value, validate=True)
    except ValueError:
        payload = item.value.encode()
    return KeyedRecord(item.key, payload, Offset(item.offset))


def is_refusal(status: int) -> bool:
    """Whether a status states that a call had no effect."""
    return status == HTTPStatus.SERVICE_UNAVAILABLE or (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    )


def unanswered_failure(method: str, detail: str) -> Failure:
    """Return the failure of a call whose effect no response tells."""
    kind = ErrorKind.PLATFORM_UNAVAILABLE
    if method == 'POST':
        kind = ErrorKind.PLATFORM_UNKNOWN
    return Failure(kind, detail)


def unavailable_failure(detail: str) -> Failure:
    """Return the failure of a call that can be repeated."""
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
