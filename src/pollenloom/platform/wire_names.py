"""Names of the platform's protocol: headers, topics, keys and values."""

from typing import Final

# Headers of requests and responses, in lower case.
ATTEMPT_ID: Final = b'x-pollenloom-attempt-id'
# Remaining time in milliseconds, not a point in time.
DEADLINE_MS: Final = b'x-pollenloom-deadline-ms'
# Id of the backend server that must run the request, not of one that ran it.
EXPECT_INSTANCE: Final = b'x-pollenloom-expect-instance'
EXPECT_VERSION: Final = b'x-pollenloom-expect-version'
# Client account, which the router derives from the API key.
TENANT: Final = b'x-pollenloom-tenant'
API_KEY: Final = b'api-key'
# Prompt tokens and maximum number of output tokens.
TOKEN_USAGE: Final = b'x-pollenloom-token-usage'
# Expected number of output tokens.
LENGTH_HINT: Final = b'x-pollenloom-length-hint'
# Ids of the parts of a prompt with their token counts.
PROMPT_PREFIX: Final = b'x-pollenloom-prompt-prefix'
LAST_EVENT_ID: Final = b'last-event-id'
# Proof that a response comes from a backend server.
RESPONSE_SEAL: Final = b'x-pollenloom-response-seal'
NOT_EXECUTED: Final = b'x-pollenloom-not-executed'
COLD_MS: Final = b'x-pollenloom-cold-ms'
# Requests a second that the server takes from all routers together.
SERVER_LIMIT: Final = b'server-limit'
# `1` in all responses of a server that is about to stop.
SERVER_LEAVING: Final = b'server-leaving'
# Headers that only a router may set; those of callers are removed.
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

# Header of all responses of the store; rises by one each time that the store
# comes back from an older copy.
STORE_ERA: Final = 'Store-Era'

# Headers of calls that only the holder of a duty makes.
DUTY_HOLDER: Final = 'X-Pollenloom-Duty-Holder'
FENCING_TOKEN: Final = 'X-Pollenloom-Fencing-Token'
# Names of the duties in the settings.
USAGE_DUTY: Final = 'usage_report'
SCALING_DUTY: Final = 'autoscale'

# Topics and keys of the store.
OPERATOR_TOPIC: Final = 'keyed.op'
SERVERS_TOPIC: Final = 'keyed.servers'
# Entries that routers write about themselves; the platform calls VMs nodes.
NODES_TOPIC: Final = 'keyed.nodes'
# Entries that routers write about blocked prompts.
BLOCKS_TOPIC: Final = 'keyed.blocks'
STATUS_TOPIC: Final = 'keyed.status'
# Records of the routers that hold a duty.
USAGE_DUTY_TOPIC: Final = 'keyed.usage_duty'
SCALING_DUTY_TOPIC: Final = 'keyed.scaling_duty'
CONFIGURATION_KEY: Final = 'config'
# Followed by a data centre; a record with a value takes it out of service.
EVACUATION_PREFIX: Final = 'evacuate/'
# Followed by a service, in the topics of operators and of states.
ROLLOUT_PREFIX: Final = 'rollout/'

# Values in the configuration and in server entries.
IDEMPOTENT: Final = 'idempotent'
STREAMING: Final = 'streaming'
NON_IDEMPOTENT: Final = 'non_idempotent'
ROUTE_TYPES: Final = frozenset((IDEMPOTENT, STREAMING, NON_IDEMPOTENT))
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'
# States of a version move.
MOVE_ACTIVE: Final = 'active'
MOVE_COMPLETED: Final = 'completed'
MOVE_ROLLED_BACK: Final = 'rolled_back'
