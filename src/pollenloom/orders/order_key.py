"""Identity and age of an order."""

import uuid

import msgspec

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.core.units import MILLISECONDS_PER_SECOND

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80


class OrderKey(msgspec.Struct, frozen=True, array_like=True):
    """Scope in which an idempotency key is unique.

    Attributes:
        service: Service that runs the order.
        account: Client account that sent it.
        key: UUID version 7 in canonical form.
    """

    service: ServiceId
    account: AccountId
    key: str


def canonical_key(text: str) -> str | None:
    """Return a key in canonical form, or None if it is not a UUID version 7.

    Keys contain the time of their creation (RFC 9562), which distinguishes a
    key older than the records of earlier calls from a new one.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return str(parsed)


def key_time(key: str) -> float:
    """Return when a canonical key was created, Unix seconds."""
    return (uuid.UUID(key).int >> TIMESTAMP_SHIFT) / MILLISECONDS_PER_SECOND
