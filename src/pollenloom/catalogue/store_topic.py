"""Topics of the platform's store that a router uses."""

from enum import Enum, unique


@unique
class StoreTopic(Enum):
    """A topic; each has one kind of writer."""

    # Written by operators.
    OPERATOR = 'operator'
    # Written by the backend servers.
    SERVERS = 'servers'
    # Written by the routers about themselves.
    NODES = 'nodes'
    # Written by the routers about prompts that crash backend servers.
    BLOCKS = 'blocks'
    # Written by the routers about version moves, read by operators.
    MOVES = 'moves'
    # Written by the holders of the duties, one topic for each duty.
    USAGE_DUTY = 'usage_duty'
    SCALING_DUTY = 'scaling_duty'
