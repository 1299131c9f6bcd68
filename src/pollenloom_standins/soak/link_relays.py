"""Relays on the links between the routers of a fleet."""

from pathlib import Path

import aiohttp
import msgspec

from pollenloom_standins.fleet.fleet_plan import RouterPlan
from pollenloom_standins.fleet.managed_process import ManagedProcess
from pollenloom_standins.fleet.process_fleet import standin_command
from pollenloom_standins.relay.link_rules import (
    LinkMode,
    LinkRule,
    LinkRules,
)
from pollenloom_standins.serving.free_addresses import free_addresses


class LinkRelays:
    """A relay in front of the address for peers of each router.

    Attributes:
        relays: Relay processes by the host of their router.
        cut_hosts: Hosts that are cut off; true if only what they send is
            lost.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.relays: dict[str, ManagedProcess] = {}
        self.cut_hosts: dict[str, bool] = {}

    async def start_relay(self, plan: RouterPlan) -> RouterPlan:
        """Start the relay of a router; return the plan with its addresses."""
        address = free_addresses(plan.host, 1)[0]
        process = ManagedProcess(
            f'relay-{plan.vm}',
            standin_command(
                'relay',
                '--target',
                address,
                '--listen',
                f'{plan.host}:0',
            ),
            self.directory,
        )
        self.relays[plan.host] = process
        await process.start()
        return RouterPlan(
            vm=plan.vm,
            data_centre=plan.data_centre,
            host=plan.host,
            sections=plan.sections,
            peers=address,
            advertise=process.ready['ready'],
        )

    async def cut_off(self, host: str, *, one_way: bool) -> None:
        """Cut a router off; if `one_way`, lose only what it sends."""
        self.cut_hosts[host] = one_way
        await self.apply()

    async def reconnect(self, host: str) -> None:
        """Restore the links of a router."""
        self.cut_hosts.pop(host, None)
        await self.apply()

    async def apply(self) -> None:
        """Send all relays their rules."""
        async with aiohttp.ClientSession() as session:
            for host, process in self.relays.items():
                response = await session.put(
                    f'http://{process.ready["control"]}/control/links',
                    json=msgspec.to_builtins(self.rules_of(host)),
                )
                response.raise_for_status()

    def rules_of(self, host: str) -> LinkRules:
        """Return the rules of the relay in front of a router.

        Bytes from the router that connected go forward, bytes from the router
        behind the relay go backward.
        """
        rules = []
        for source in (*self.relays, '*'):
            loses_forward = (
                source in self.cut_hosts or self.cut_hosts.get(host) is False
            )
            loses_backward = (
                host in self.cut_hosts or self.cut_hosts.get(source) is False
            )
            rules.append(
                LinkRule(
                    source=source,
                    forward=LinkMode.DROP if loses_forward else LinkMode.PASS,
                    backward=LinkMode.DROP if loses_backward else LinkMode.PASS,
                ),
            )
        return LinkRules(tuple(rules))

    async def kill_all(self) -> None:
        """Kill all relays."""
        for process in self.relays.values():
            await process.kill()
