"""Tests of the addresses that fleets of processes listen on."""

from pollenloom.core.host_port import split_address
from pollenloom_standins.serving.free_addresses import (
    LAST_PORT,
    free_addresses,
)

COUNT = 200


def test_ports_are_not_those_of_outgoing_connections() -> None:
    """Guards against a port that a connection takes before its process listens.

    A node of soak seed 1811 could not start for that reason.
    """
    ports = {
        split_address(address)[1]
        for address in free_addresses('127.0.0.1', COUNT)
    }
    assert len(ports) == COUNT
    assert max(ports) <= LAST_PORT
