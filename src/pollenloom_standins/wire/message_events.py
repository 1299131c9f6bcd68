"""Reads the parts of HTTP messages from a connection."""

import asyncio
from typing import Final

import h11

READ_BYTES: Final = 65_536
MessageEvent = (
    h11.Request
    | h11.InformationalResponse
    | h11.Response
    | h11.Data
    | h11.EndOfMessage
)


async def next_event(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> MessageEvent:
    """Return the next part of a message.

    Raises:
        ConnectionError: If the connection has ended.
        h11.RemoteProtocolError: If the message is invalid or broken off.
    """
    event = connection.next_event()
    while event is h11.NEED_DATA:
        connection.receive_data(await reader.read(READ_BYTES))
        event = connection.next_event()
    if isinstance(event, MessageEvent):
        return event
    raise ConnectionResetError('the connection has ended')


def resume(connection: h11.Connection, received: bytes) -> None:
    """Give a connection what was received behind an earlier message.

    Empty bytes would stand for the end of the connection.
    """
    if received:
        connection.receive_data(received)
