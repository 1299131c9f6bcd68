"""Names by which services find each other."""

from enum import Enum, unique


@unique
class KernelServiceName(Enum):
    """Name of a service in the kernel's registry."""

    ADMISSION = 'admission'
    BLOCK_STORE = 'block_store'
    CATALOGUE = 'catalogue'
    CONFIGURATION = 'configuration'
    DISPATCH = 'dispatch'
    DUTIES = 'duties'
    DUTY_CALLS = 'duty_calls'
    ENGINE_REPORTS = 'engine_reports'
    EVENTS = 'events'
    FACT_EXCHANGE = 'fact_exchange'
    FLEET_DIRECTORY = 'fleet_census'
    FRONTEND = 'frontend'
    GATEWAY = 'gateway'
    KEYED_STORE = 'keyed_store'
    LIVENESS_CONNECTIONS = 'liveness_connections'
    LOAD_EXCHANGE = 'load_exchange'
    LOG = 'log'
    LOOP_MONITOR = 'loop_monitor'
    MEMBERSHIP = 'membership'
    METRICS = 'metrics'
    MOVES = 'moves'
    OPERATIONS = 'operations'
    ORDERS = 'orders'
    PEERS = 'peers'
    PLATFORM = 'platform'
    PROBES = 'probes'
    PROMPT_GUARD = 'prompt_guard'
    REGISTERS = 'registers'
    SCALING = 'scaling'
    SERVER_CHECKS = 'server_checks'
    SERVER_CONNECTION_POOL = 'server_links'
    SETTINGS = 'settings'
    TOPIC_RELAY = 'topic_relay'
    USAGE = 'usage'
    # Services of the stand-ins in `pollenloom_standins`.
    STANDIN_BACKEND = 'standin_backend'
    STANDIN_CONTROL = 'standin_control'
    STANDIN_HTTP = 'standin_http'
    STANDIN_PLATFORM = 'standin_platform'
    STANDIN_RELAY = 'standin_relay'
