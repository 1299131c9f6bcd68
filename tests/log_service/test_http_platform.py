"""Tests of the platform client, above all of its failures."""

import asyncio

import msgspec
import pytest

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.ids import Offset
from pollenloom.log_service.http_platform import (
    HttpPlatform,
    parse_append_response,
)
from pollenloom.log_service.vm_entry import VmEntry
from tests.standin_runner import RunningStandin

ENTRY = {
    'vm': 'server-1',
    'data_centre': 'hengelo',
    'role': 'backend',
    'state': 'leaving',
    'address': '127.0.0.1:9',
    'service': 'minutes',
    'version': 'v1',
    'slots': 8,
    'cold_slots': 2,
}


async def payloads(platform: HttpPlatform) -> list[bytes]:
    page = (await platform.read(Offset(0), 100)).ok
    return [record.payload for record in page.records]


async def test_log_keeps_bytes_and_offsets(platform: HttpPlatform) -> None:
    """Guards against records whose bytes or order change in transfer."""
    for payload in (b'\x00\xff', b'', b'third'):
        assert (await platform.append(payload)).is_ok()
    page = (await platform.read(Offset(1), 1)).ok
    assert [record.payload for record in page.records] == [b'']
    assert (page.earliest, page.next, page.end) == (0, 2, 3)
    assert await payloads(platform) == [b'\x00\xff', b'', b'third']


async def test_vm_list_is_decoded(
    platform: HttpPlatform,
    standin: RunningStandin,
) -> None:
    """Guards against fields that are lost when the VM list is decoded."""
    await standin.put('/control/vms', {'vms': [ENTRY]})
    listed = (await platform.list_vms()).ok
    assert listed.vms == (msgspec.convert(ENTRY, VmEntry),)


@pytest.mark.parametrize(
    ('faults', 'kind', 'is_appended'),
    [
        ({'down': True}, ErrorKind.PLATFORM_UNAVAILABLE, False),
        ({'next_lost_answers': 1}, ErrorKind.PLATFORM_UNKNOWN, True),
        ({'next_lost_appends': 1}, ErrorKind.PLATFORM_UNKNOWN, False),
        ({'slow_seconds': 1}, ErrorKind.PLATFORM_UNKNOWN, False),
        ({'cut_off': ['127.0.0.1']}, ErrorKind.PLATFORM_UNKNOWN, False),
    ],
)
async def test_append_failures(
    platform: HttpPlatform,
    standin: RunningStandin,
    faults: dict[str, object],
    kind: ErrorKind,
    is_appended: bool,
) -> None:
    """Guards against "unavailable" for an append that took effect.

    Only a failure that proves that nothing was appended may be reported as
    `PLATFORM_UNAVAILABLE`, because the caller may then append again.
    """
    await standin.set_faults(**faults)
    result = await platform.append(b'order')
    assert result.error.kind is kind
    await standin.set_faults(down=False, slow_seconds=0, cut_off=[])
    assert await payloads(platform) == ([b'order'] if is_appended else [])


async def test_rate_limited_append_has_no_effect(
    platform: HttpPlatform,
) -> None:
    """Guards against a claim that counts although the log rejected it."""
    results = [await platform.append(b'claim') for _ in range(8)]
    failed = [
        response.error.kind for response in results if response.is_error()
    ]
    assert set(failed) == {ErrorKind.PLATFORM_UNAVAILABLE}
    assert len(await payloads(platform)) == len(results) - len(failed)


async def test_refused_connection_is_unavailable(
    platform: HttpPlatform,
    standin: RunningStandin,
) -> None:
    """Guards against "unknown" for an append that was never sent.

    The platform refuses the connection.
    """
    await standin.kernel.stop()
    for result in (
        await platform.append(b'claim'),
        await platform.read(Offset(0), 1),
        await platform.list_vms(),
    ):
        assert result.error.kind is ErrorKind.PLATFORM_UNAVAILABLE


async def test_closed_connection_is_unknown() -> None:
    """Guards against "unavailable" for a request that the platform received.

    The platform closes the connection without a response, so the append may
    have taken effect.
    """

    async def close(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(close, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    platform = HttpPlatform(f'http://127.0.0.1:{port}', timeout_seconds=5)
    await platform.start()
    appended = await platform.append(b'claim')
    listed = await platform.list_vms()
    await platform.stop()
    server.close()
    assert appended.error.kind is ErrorKind.PLATFORM_UNKNOWN
    assert listed.error.kind is ErrorKind.PLATFORM_UNAVAILABLE


@pytest.mark.parametrize(
    ('status', 'body', 'kind'),
    [
        (200, b'{"offset":', ErrorKind.PLATFORM_UNKNOWN),
        (200, b'{"offset": "\xff"}', ErrorKind.PLATFORM_UNKNOWN),
        (302, b'', ErrorKind.PLATFORM_UNKNOWN),
        (408, b'', ErrorKind.PLATFORM_UNKNOWN),
        (413, b'', ErrorKind.PLATFORM_UNAVAILABLE),
        (500, b'', ErrorKind.PLATFORM_UNKNOWN),
        (504, b'', ErrorKind.PLATFORM_UNKNOWN),
    ],
)
def test_other_append_responses(
    status: int,
    body: bytes,
    kind: ErrorKind,
) -> None:
    """Guards against "unavailable" for an append that may have taken effect.

    Only some statuses prove that the platform rejected the append.
    """
    assert parse_append_response(status, body).error.kind is kind
