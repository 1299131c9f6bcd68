"""Reading of request bodies within the limit."""

from typing import Final

from expression import Error, Ok, Result
from sanic import Request
from sanic.http import Http

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

# Read and dropped above the limit: a connection that is closed with unread
# bytes is reset, and the caller would lose the answer.
DROPPED_BYTES: Final = 8_388_608


async def read_body(request: Request, limit: int) -> Result[bytes, Failure]:
    """Return the body, or drop it if it is longer than `limit` bytes.

    Raises:
        sanic.exceptions.BadRequest: If its encoding is broken.
    """
    stream = request.stream
    if not isinstance(stream, Http) or not stream.request_body:
        return Ok(b'')
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
    if size > limit:
        stream.keep_alive = False
        return Error(
            Failure(
                ErrorKind.BODY_TOO_LARGE,
                f'the body is longer than {limit} bytes',
            )
        )
    return Ok(bytes(body))
