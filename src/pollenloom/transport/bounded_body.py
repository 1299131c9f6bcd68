"""Reading of response bodies up to a limit."""

import aiohttp


class BodyTooLongError(ValueError):
    """A response body is longer than its reader allows."""


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return a response body of at most `max_bytes`.

    The sender may go on without end, until the connection is closed.

    Raises:
        BodyTooLongError: If the body is longer; the connection is closed.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLongError(f'response exceeds {max_bytes} bytes')
    return bytes(body)
