"""Names of the users' protocol, each with what it holds."""

from typing import Final

# Headers of requests and answers, in lower case.
ATTEMPT_ID: Final = b'x-pollenloom-attempt-id'
# Milliseconds that remain, not a point in time.
DEADLINE_MS: Final = b'x-pollenloom-deadline-ms'
# Which server must take the request, not which one did.
EXPECT_INSTANCE: Final = b'x-pollenloom-expect-instance'
EXPECT_VERSION: Final = b'x-pollenloom-expect-version'
# Client account, set by the router from the key.
TENANT: Final = b'x-pollenloom-tenant'
API_KEY: Final = b'api-key'
# Prompt tokens and largest number of output tokens.
TOKEN_USAGE: Final = b'x-pollenloom-token-usage'
LENGTH_HINT: Final = b'x-pollenloom-length-hint'
PROMPT_PREFIX: Final = b'x-pollenloom-prompt-prefix'
LAST_EVENT_ID: Final = b'last-event-id'
# Proof that an answer is a server's own.
RESPONSE_SEAL: Final = b'x-pollenloom-response-seal'
NOT_EXECUTED: Final = b'x-pollenloom-not-executed'
COLD_MS: Final = b'x-pollenloom-cold-ms'
# Only the router may set these; a caller's are dropped.
ROUTER_HEADERS: Final = frozenset(
    (
        TENANT,
        API_KEY,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        DEADLINE_MS,
        b'x-pollenloom-hold',
        b'x-pollenloom-pin-ms',
        b'x-pollenloom-kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)

# Topics and keys of the store.
OPERATOR_TOPIC: Final = 'keyed.op'
SERVERS_TOPIC: Final = 'keyed.servers'
NODES_TOPIC: Final = 'keyed.nodes'
CONFIGURATION_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'

# Words of the configuration and of server entries.
IDEMPOTENT: Final = 'idempotent'
STREAMING: Final = 'streaming'
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'
