"""Reading of request bodies up to the size limit."""

import asyncio
from typing import Final

from expression import Error, Ok, Result
from sanic import Request
from sanic.http import Http

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.settings.router_settings import LimitSettings

# Bytes above the limit that are read and discarded. Closing a connection with
# unread bytes resets it, and the caller would lose the response.
MAX_DISCARDED_BYTES: Final = 8_388_608


async def read_body(
    request: Request,
    limits: LimitSettings,
) -> Result[bytes, Failure]:
    """Return the body; discard it if it is too long.

    Errors:
        INVALID_REQUEST: The body was not complete within `receive_seconds`.
        BODY_TOO_LARGE: The body is longer than `body_bytes`.

    Raises:
        sanic.exceptions.BadRequest: If its transfer encoding is invalid.
    """
    stream = request.stream
    if not isinstance(stream, Http) or not stream.request_body:
        return Ok(b'')
    try:
        async with asyncio.timeout(limits.receive_seconds):
            body = await read_chunks(stream, limits.body_bytes)
    except TimeoutError:
        stream.keep_alive = False
        # Keeps Sanic from reading the rest of the body.
        stream.request_body = None
        return Error(
            Failure(
                ErrorKind.INVALID_REQUEST, 'the body was not received in time'
            )
        )
    if body is None:
        stream.keep_alive = False
        return Error(
            Failure(
                ErrorKind.BODY_TOO_LARGE,
                f'the body is longer than {limits.body_bytes} bytes',
            )
        )
    return Ok(body)


async def read_chunks(stream: Http, limit: int) -> bytes | None:
    """Return the body; None if it is longer than `limit` bytes."""
    body = bytearray()
    size = 0
    async for chunk in stream:
        size += len(chunk)
        if size <= limit:
            body += chunk
        else:
            body.clear()
        if size > limit + MAX_DISCARDED_BYTES:
            break
    return None if size > limit else bytes(body)
