"""Tests of the addresses that fleets of processes listen on."""

from pollenloom.core.host_port import split_address
from pollenloom_standins.serving.free_addresses import (
    LAST_PORT,
    free_addresses,
)

COUNT = 200


def choose_ports(count: int) -> list[int]:
    """Return free ports."""
    return [
        split_address(address)[1]
        for address in free_addresses('127.0.0.1', count)
    ]


def test_ports_are_not_those_of_outgoing_connections() -> None:
    """Guards against a port that a connection takes before its process listens.

    A node of soak seed 1811 could not start for that reason.
    """
    assert max(choose_ports(COUNT)) <= LAST_PORT


def test_nodes_of_a_large_fleet_get_different_ports() -> None:
    """Guards against two nodes of 40 with the same port, as in seed 2001."""
    ports = [port for _ in range(COUNT) for port in choose_ports(4)]
    assert len(set(ports)) == len(ports)
