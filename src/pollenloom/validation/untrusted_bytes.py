"""Decoding of bytes that other programs have written.

Other programs may write anything. An error that a caller does not expect ends
the task that reads, so every error of a decoder becomes a `Failure` here.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

import cbor2
import msgspec
from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure

# ValueError covers invalid JSON, invalid UTF-8, wrong types and numbers with
# more digits than Python converts; RecursionError deep nesting; OverflowError
# integers that are too large for floating point.
DECODING_ERRORS: Final = (
    ValueError,
    OverflowError,
    RecursionError,
    cbor2.CBORError,
)
# Messages of errors may quote what could not be decoded, of any length.
MAX_DETAIL_LENGTH: Final = 200

MessageT = TypeVar('MessageT')


def decode_json(
    content: bytes, message_type: type[MessageT]
) -> Result[MessageT, Failure]:
    """Decode JSON of a type that msgspec supports.

    Errors:
        PROTOCOL_ERROR: The content is not JSON of this type.
    """
    return validated(lambda: msgspec.json.decode(content, type=message_type))


def decode_cbor(
    content: bytes,
    message_type: Any,
    native_types: Iterable[type] = (),
) -> Result[Any, Failure]:
    """Decode CBOR of a type, or of a union of types, that msgspec supports.

    Errors:
        PROTOCOL_ERROR: The content is not CBOR of this type.
    """
    return validated(
        lambda: msgspec.convert(
            cbor2.loads(content),
            message_type,
            builtin_types=native_types,
        )
    )


def validated(decode: Callable[[], MessageT]) -> Result[MessageT, Failure]:
    """Return what a function returns that decodes or validates values.

    Errors:
        PROTOCOL_ERROR: The function raised one of `DECODING_ERRORS`.
    """
    try:
        return Ok(decode())
    except DECODING_ERRORS as error:
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, describe(error)))


def unknown_state(state: str) -> Failure:
    """Return the failure of a record with a state that is not defined."""
    detail = f'unknown state {state}'[:MAX_DETAIL_LENGTH]
    return Failure(ErrorKind.PROTOCOL_ERROR, detail)


def describe(error: Exception) -> str:
    """Return type and message of an error, at most `MAX_DETAIL_LENGTH`."""
    return f'{type(error).__name__}: {error}'[:MAX_DETAIL_LENGTH]
