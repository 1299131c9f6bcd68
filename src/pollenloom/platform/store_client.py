"""Client of the platform's store: the only one of a process."""

import base64
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, Self

import aiohttp
import msgspec
from expression import Error, Ok, Result

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.operator_change import (
    DataCentreDirective,
    NewConfiguration,
    OperatorChange,
    UnrelatedChange,
)
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, Offset, ServerId
from pollenloom.core.units import MILLISECONDS
from pollenloom.platform import record_frames, wire_names
from pollenloom.platform.configuration_codec import decode_configuration
from pollenloom.platform.server_entry_codec import decode_server_entry
from pollenloom.transport.shielded_connector import ShieldedConnector

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pollenloom.routing.server_entry import ServerEntry
    from pollenloom.settings.node_settings import StoreSettings

TOPICS: Final = MappingProxyType(
    {
        StoreTopic.OPERATOR: wire_names.OPERATOR_TOPIC,
        StoreTopic.SERVERS: wire_names.SERVERS_TOPIC,
        StoreTopic.NODES: wire_names.NODES_TOPIC,
    }
)
# Topics with keys have this partition only.
PARTITION: Final = 0
LARGEST_ANSWER_KB: Final = 1024
# A connection to a reachable store takes a few milliseconds.
CONNECT_SECONDS: Final = 0.5


class NewestItem(msgspec.Struct, frozen=True):
    """One record; the value is in base64."""

    key: str
    value: str
    offset: Offset


class NewestRecordsResponse(msgspec.Struct, frozen=True):
    """One page of the newest records of a topic."""

    items: tuple[NewestItem, ...]
    truncated: bool
    end: Offset


class StoreAppendResponse(msgspec.Struct, frozen=True):
    """Offset of the first record of an append."""

    offset: Offset


class StoreClient(KeyedStore):
    """The store over HTTP."""

    def __init__(self, address: str, timeout_seconds: float) -> None:
        self.address = address
        self.timeout_seconds = timeout_seconds
        self.opened_session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, settings: 'StoreSettings') -> Self:
        """Build a client from a router's settings."""
        return cls(settings.address, settings.timeout_seconds)

    async def start(self) -> None:
        """Open the session; the store need not be up."""
        self.opened_session = aiohttp.ClientSession(
            connector=ShieldedConnector(),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self.opened_session is not None:
            await self.opened_session.close()
        self.opened_session = None

    async def newest(self, topic: StoreTopic) -> Result[Listing, Failure]:
        """Return the newest records; see `KeyedStore.newest`.

        Pages are not a snapshot, so reading goes on at the end that the
        first page tells.
        """
        records: list[KeyedRecord] = []
        end: Offset | None = None
        after = ''
        while True:
            query = {'topic': TOPICS[topic], 'part': str(PARTITION)}
            if after:
                query['after'] = after
            read = await self.read_page(query)
            if read.is_error():
                return Error(read.error)
            page: NewestRecordsResponse = read.ok
            records.extend(map(read_item, page.items))
            end = page.end if end is None else end
            if not page.truncated or not page.items:
                return Ok(Listing(tuple(records), end))
            after = page.items[-1].key

    async def read_page(
        self,
        query: 'Mapping[str, str]',
    ) -> Result[NewestRecordsResponse, Failure]:
        """Read and decode one page of newest records."""
        called = await self.call('GET', '/log-newest', query)
        if called.is_error():
            return Error(called.error)
        status, body = called.ok
        if status != HTTPStatus.OK:
            return Error(unavailable(f'log-newest: status {status}'))
        try:
            return Ok(msgspec.json.decode(body, type=NewestRecordsResponse))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Error(unavailable(f'log-newest: bad answer: {error}'))

    async def changes(
        self,
        topic: StoreTopic,
        start: Offset,
        wait_seconds: float,
    ) -> Result[Listing, Failure]:
        """Return records from an offset on; see `KeyedStore.changes`."""
        called = await self.call(
            'GET',
            '/log-read',
            {
                'topic': TOPICS[topic],
                'part': str(PARTITION),
                'from': str(start),
                'max_kb': str(LARGEST_ANSWER_KB),
                'wait_ms': str(round(wait_seconds * MILLISECONDS)),
            },
            wait_seconds,
        )
        if called.is_error():
            return Error(called.error)
        status, body = called.ok
        if status == HTTPStatus.GONE:
            return Ok(Listing((), start, is_gap=True))
        if status != HTTPStatus.OK:
            return Error(unavailable(f'log-read: status {status}'))
        return record_frames.decode_page(body, start)

    async def put(
        self,
        topic: StoreTopic,
        key: str,
        payload: bytes,
    ) -> Result[Offset, Failure]:
        """Append a record; see `KeyedStore.put`."""
        called = await self.call(
            'POST',
            '/log-append',
            {'topic': TOPICS[topic], 'part': str(PARTITION)},
            body=record_frames.encode_record(key, payload),
        )
        if called.is_error():
            return Error(called.error)
        status, body = called.ok
        if status != HTTPStatus.OK:
            return Error(unavailable(f'log-append: status {status}'))
        try:
            return Ok(
                msgspec.json.decode(body, type=StoreAppendResponse).offset
            )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            detail = f'log-append: bad answer: {error}'
            return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, detail))

    async def call(
        self,
        method: str,
        path: str,
        query: 'Mapping[str, str]',
        wait_seconds: float = 0,
        body: bytes = b'',
    ) -> Result[tuple[int, bytes], Failure]:
        """Make one call; return status and body."""
        if self.opened_session is None:
            return Error(unavailable('the client is not started'))
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_seconds + wait_seconds,
            connect=CONNECT_SECONDS,
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
                return Ok((response.status, await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Error(unavailable(f'{path[1:]}: {error!r}'))

    def read_operator_change(
        self,
        record: KeyedRecord,
    ) -> Result[OperatorChange, Failure]:
        """Decode a record of the operators."""
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
        return Ok(UnrelatedChange(record.key))

    def read_server(
        self,
        record: KeyedRecord,
    ) -> 'Result[ServerEntry, Failure]':
        """Decode a server's entry."""
        return decode_server_entry(ServerId(record.key), record.payload)


def read_item(item: NewestItem) -> KeyedRecord:
    """Return the record of one item; a value that is not base64 is kept."""
    try:
        payload = base64.b64decode(item.value, validate=True)
    except ValueError:
        payload = item.value.encode()
    return KeyedRecord(item.key, payload, item.offset)


def unavailable(detail: str) -> Failure:
    """Return the failure of a call that can be made again."""
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
