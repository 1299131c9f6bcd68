"""Names by which services find each other."""

from enum import Enum, unique


@unique
class KernelServiceName(Enum):
    """Name of a service in the kernel's registry."""

    ADMISSION = 'admission'
    CONFIGURATION = 'configuration'
    DISPATCH = 'dispatch'
    EVENTS = 'events'
    FRONTEND = 'frontend'
    MEMBERSHIP = 'membership'
    METRICS = 'metrics'
    MOVES = 'moves'
    OPERATIONS = 'operations'
    ORDERS = 'orders'
    PEERS = 'peers'
    PLATFORM = 'platform'
    REGISTERS = 'registers'
