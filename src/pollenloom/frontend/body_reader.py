"""Reading of request bodies within the limit."""

import asyncio
from typing import Final

from expression import Error, Ok, Result
from sanic import Request
from sanic.http import Http

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.settings.router_settings import LimitSettings

# Read and dropped above the limit: a connection that is closed with unread
# bytes is reset, and the caller would lose the answer.
DROPPED_BYTES: Final = 8_388_608


async def read_body(
    request: Request,
    limits: LimitSettings,
) -> Result[bytes, Failure]:
    """Return the body, or drop it if it is too long.

    Raises:
        sanic.exceptions.BadRequest: If its encoding is broken.
    """
    stream = request.stream
    if not isinstance(stream, Http) or not stream.request_body:
        return Ok(b'')
    try:
        async with asyncio.timeout(limits.receive_seconds):
            body = await read_pieces(stream, limits.body_bytes)
    except TimeoutError:
        stream.keep_alive = False
        # Nothing of it is read any more.
        stream.request_body = None
        return Error(
            Failure(ErrorKind.INVALID_REQUEST, 'the body came too slowly')
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


async def read_pieces(stream: Http, limit: int) -> bytes | None:
    """Return the body, or none if it is longer than `limit` bytes."""
    body = bytearray()
    size = 0
    async for piece in stream:
        size += len(piece)
        if size <= limit:
            body += piece
        else:
            body.clear()
        if size > limit + DROPPED_BYTES:
            break
    return None if size > limit else bytes(body)
