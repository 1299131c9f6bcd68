"""The closed list of error kinds."""

from enum import Enum, unique


@unique
class ErrorKind(Enum):
    """Every kind of failure reported to a caller, operator or peer."""

    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    INVALID_REQUEST = 'invalid_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TOO_LARGE = 'header_too_large'
    MEMORY_FULL = 'memory_full'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_MODEL = 'unknown_model'
    SERVICE_ENDED = 'service_ended'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_CAPACITY = 'no_capacity'
    RETRIES_EXHAUSTED = 'retries_exhausted'
    BACKEND_REFUSED = 'backend_refused'
    BACKEND_TIMEOUT = 'backend_timeout'
    BACKEND_FAILED = 'backend_failed'
    RESPONSE_TRUNCATED = 'answer_cut'
    CALLER_DISCONNECTED = 'caller_left'
    SHUTTING_DOWN = 'shutting_down'
    IDEMPOTENCY_KEY_REQUIRED = 'idempotency_key_required'
    IDEMPOTENCY_KEY_INVALID = 'idempotency_key_invalid'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency_key_expired'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    ORDER_IN_PROGRESS = 'order_in_progress'
    ORDER_OUTCOME_UNKNOWN = 'order_outcome_unknown'
    ORDERS_UNAVAILABLE = 'orders_unavailable'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    PLATFORM_UNKNOWN = 'platform_unknown'
    PEER_UNAVAILABLE = 'peer_unavailable'
    PEER_TIMEOUT = 'peer_timeout'
    NOT_OWNER = 'not_owner'
    PROTOCOL_ERROR = 'protocol_error'
    SETTINGS_INVALID = 'settings_invalid'
    CONFIGURATION_INVALID = 'configuration_invalid'
    CONFIGURATION_CONFLICT = 'configuration_conflict'
    NOT_CONFIGURED = 'not_configured'
    INTERNAL = 'internal'
