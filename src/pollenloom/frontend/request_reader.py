"""Authentication, parsing and validation of calls."""

import math
import re
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final
from urllib.parse import unquote

import msgspec
from expression import Error, Ok, Result

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import RouteId, ServiceId
from pollenloom.core.states import Resource
from pollenloom.dispatch.request_headers import forwarded_headers
from pollenloom.dispatch.token_usage import estimate_cost
from pollenloom.frontend.access import authenticate, check_access
from pollenloom.frontend.model_body import ChatBody, CompletionBody
from pollenloom.frontend.prompt_prefixes import hash_prefixes
from pollenloom.frontend.raw_call import RawCall

MAX_TIMEOUT_SECONDS: Final = 3600
HEADER_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
HEADER_TEXT: Final = re.compile(r'[\t\x20-\x7e]*')
IDEMPOTENCY_KEY: Final = re.compile(r'[\x21-\x7e]{1,255}')
TRACEPARENT: Final = re.compile(r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-.{2,}')


class ModelRoute(Enum):
    """Route of a model service, named as in metrics and version moves."""

    CHAT = 'chat-completions'
    COMPLETIONS = 'completions'


@dataclass(frozen=True, slots=True)
class CallContext:
    """Configuration, time and limits that a call is validated against.

    Attributes:
        configuration: Configuration in force.
        monotonic: Present time for deadlines, in seconds.
        wall: Present time for shutdown dates, seconds since the Unix epoch.
        request_seconds: Time limit of a call that sets none.
    """

    configuration: Configuration
    monotonic: float
    wall: float
    request_seconds: float


@dataclass(frozen=True, slots=True)
class ValidatedRequest:
    """A request that may be served, with its service."""

    request: CallerRequest
    service: ServiceFile


def read_model_call(
    call: RawCall,
    route: ModelRoute,
    context: CallContext,
) -> Result[ValidatedRequest, Failure]:
    """Return the request of a call on a model route.

    Errors:
        UNKNOWN_MODEL: No service offers the model.
        INVALID_REQUEST: The body or a header is malformed.
        Others as from `authenticate` and `check_access`.
    """
    account = authenticate(context.configuration, call.header('authorization'))
    if account.is_error():
        return Error(account.error)
    try:
        body = decode_body(call.body, route)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return invalid_request(f'the body is not a valid request: {error}')
    service = context.configuration.services.get(ServiceId(body.model))
    if service is None or service.resource is not Resource.MODEL:
        return Error(
            Failure(
                ErrorKind.UNKNOWN_MODEL,
                'no service offers this model; GET /v1/models lists them',
            )
        )
    prompt = body.prompt()
    draft = CallerRequest(
        request_id=call.request_id,
        account=account.ok,
        service=service.service,
        route=RouteId(route.value),
        resource=Resource.MODEL,
        cost_hint=estimate_cost(len(prompt), body.tokens_to_generate()),
        deadline=context.monotonic,
        repeatable=True,
        method=call.method,
        path=call.path.rstrip('/'),
        body=call.body,
        streaming=bool(body.stream),
        prefix_hashes=hash_prefixes(body.model, prompt),
    )
    return complete_request(draft, service, call, context)


def decode_body(body: bytes, route: ModelRoute) -> ChatBody | CompletionBody:
    """Decode the body of a model request.

    Raises:
        msgspec.DecodeError: If it is not in the published format.
    """
    if route is ModelRoute.CHAT:
        return msgspec.json.decode(body, type=ChatBody)
    return msgspec.json.decode(body, type=CompletionBody)


def read_application_call(
    call: RawCall,
    context: CallContext,
) -> Result[ValidatedRequest, Failure]:
    """Return the request of a call on an application route.

    Errors:
        UNKNOWN_ROUTE: No service has a route for the method and path.
        INVALID_REQUEST: The path or a header is malformed.
        Others as from `authenticate` and `check_access`.
    """
    account = authenticate(context.configuration, call.header('authorization'))
    if account.is_error():
        return Error(account.error)
    name, _, rest = call.target.removeprefix('/').partition('/')
    path = unquote(f'/{rest}'.partition('?')[0], errors='replace')
    if not is_plain_path(path):
        return invalid_request(
            'the path has empty segments, dot segments or characters that'
            ' are not allowed',
        )
    service = context.configuration.services.get(ServiceId(name))
    route = None
    if service is not None:
        route = service.find_route(call.method, path)
    if service is None or route is None:
        return Error(
            Failure(
                ErrorKind.UNKNOWN_ROUTE,
                f'no service has a route for {call.method} on this path',
            )
        )
    draft = CallerRequest(
        request_id=call.request_id,
        account=account.ok,
        service=service.service,
        route=route.name,
        resource=Resource.APPLICATION,
        cost_hint=route.cost,
        deadline=context.monotonic,
        repeatable=route.is_repeatable(call.method),
        method=call.method,
        path=f'/{rest}',
        body=call.body,
    )
    return complete_request(draft, service, call, context)


def complete_request(
    draft: CallerRequest,
    service: ServiceFile,
    call: RawCall,
    context: CallContext,
) -> Result[ValidatedRequest, Failure]:
    """Check access and headers; add deadline, headers and idempotency key."""
    access = check_access(service, draft.account, context.wall)
    if access.is_error():
        return Error(access.error)
    error = find_header_error(call)
    if error is not None:
        return invalid_request(error)
    timeout = read_timeout(call, context.request_seconds)
    if timeout is None:
        return invalid_request('X-Timeout-Seconds is not a positive number')
    request = replace(
        draft,
        deadline=context.monotonic + timeout,
        headers=forwarded_headers(call.headers),
        idempotency_key=call.headers.get('idempotency-key'),
    )
    return Ok(ValidatedRequest(request, service))


def find_header_error(call: RawCall) -> str | None:
    """Return why a header may not be forwarded; None if all may."""
    for name, text in call.headers.items():
        if HEADER_NAME.fullmatch(name) is None:
            return 'a header name has characters that are not allowed'
        if HEADER_TEXT.fullmatch(text) is None:
            return f'the header {name} has characters that are not allowed'
    key = call.headers.get('idempotency-key')
    if key is not None and IDEMPOTENCY_KEY.fullmatch(key) is None:
        return 'the Idempotency-Key is empty, too long or not printable ASCII'
    parent = call.headers.get('traceparent')
    if parent is not None and TRACEPARENT.fullmatch(parent) is None:
        return 'the traceparent header is not in the W3C format'
    return None


def read_timeout(call: RawCall, default: float) -> float | None:
    """Return the seconds until the deadline; None if they are invalid.

    `default` is used without an `X-Timeout-Seconds` header.
    """
    text = call.headers.get('x-timeout-seconds')
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, MAX_TIMEOUT_SECONDS)


def is_plain_path(path: str) -> bool:
    """Whether a decoded path has one meaning for all servers.

    Otherwise a call could match a repeatable route here while the backend
    server runs another route.
    """
    *inner, last = path.removeprefix('/').split('/')
    if not all(inner) or {'.', '..'}.intersection((*inner, last)):
        return False
    return path.isprintable() and not {'#', '\\'}.intersection(path)


def invalid_request(detail: str) -> Result[ValidatedRequest, Failure]:
    """Return the failure of a malformed call."""
    return Error(Failure(ErrorKind.INVALID_REQUEST, detail))
