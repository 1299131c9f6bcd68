"""JSON responses, and parsing of requests."""

from http import HTTPStatus
from typing import TypeVar

import msgspec
from aiohttp import web

BodyT = TypeVar('BodyT')
StructT = TypeVar('StructT', bound=msgspec.Struct)


def json_response(
    body: object,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )


async def read_json(request: web.Request, body_type: type[BodyT]) -> BodyT:
    """Decode a request's JSON body.

    Raises:
        web.HTTPBadRequest: If the body is not JSON of this type.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise web.HTTPBadRequest(text=f'{error}\n') from error


async def read_changes(request: web.Request, current: StructT) -> StructT:
    """Return `current`, changed by the fields of the request's JSON body.

    Raises:
        web.HTTPBadRequest: If a field is unknown or has another type.
    """
    changes = await read_json(request, dict[str, object])
    merged = msgspec.to_builtins(current) | changes
    try:
        return msgspec.convert(merged, type(current))
    except msgspec.ValidationError as error:
        raise web.HTTPBadRequest(text=f'{error}\n') from error


def read_query_number(request: web.Request, name: str, default: int) -> int:
    """Return a query parameter as a number, `default` without it.

    Raises:
        web.HTTPBadRequest: If it is not a decimal number.
    """
    return parse_number(name, request.query.get(name, str(default)))


def read_header_number(request: web.Request, name: str) -> int:
    """Return a header as a number, 0 without it.

    Raises:
        web.HTTPBadRequest: If it is not a decimal number.
    """
    return parse_number(name, request.headers.get(name, '0'))


def parse_number(name: str, text: str) -> int:
    """Parse a number that is not negative; `name` is for the error text.

    Raises:
        web.HTTPBadRequest: If the text is not a decimal number.
    """
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f'{name} is not a number\n')
    return int(text)
