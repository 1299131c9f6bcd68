"""Relays between the routers of a fleet."""

from pathlib import Path

import aiohttp
import msgspec

from pollenloom_standins.fleet.fleet_plan import RouterPlan
from pollenloom_standins.fleet.managed_process import ManagedProcess
from pollenloom_standins.fleet.process_fleet import standin
from pollenloom_standins.relay.link_rules import (
    LinkMode,
    LinkRule,
    LinkRules,
)
from pollenloom_standins.serving.free_addresses import free_addresses


class LinkRelays:
    """A relay before the peers' address of each router.

    Attributes:
        cut: Hosts that are cut off, with whether only their sending is.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.relays: dict[str, ManagedProcess] = {}
        self.cut: dict[str, bool] = {}

    async def start_relay(self, plan: RouterPlan) -> RouterPlan:
        """Start a relay; return the plan with its addresses."""
        address = free_addresses(plan.host, 1)[0]
        process = ManagedProcess(
            f'relay-{plan.vm}',
            standin(
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
        """Cut a router off from all others, or lose only what it sends."""
        self.cut[host] = one_way
        await self.apply()

    async def reconnect(self, host: str) -> None:
        """Bring the links of a router back."""
        self.cut.pop(host, None)
        await self.apply()

    async def apply(self) -> None:
        """Put the rules of all relays in force."""
        async with aiohttp.ClientSession() as session:
            for host, process in self.relays.items():
                response = await session.put(
                    f'http://{process.ready["control"]}/control/links',
                    json=msgspec.to_builtins(self.rules_of(host)),
                )
                response.raise_for_status()

    def rules_of(self, host: str) -> LinkRules:
        """Return the rules of the relay before a router.

        Bytes of the router that was called go backward, those of its caller
        forward.
        """
        rules = []
        for source in (*self.relays, '*'):
            loses_sent = source in self.cut or self.cut.get(host) is False
            loses_answers = host in self.cut or self.cut.get(source) is False
            rules.append(
                LinkRule(
                    source=source,
                    forward=LinkMode.DROP if loses_sent else LinkMode.PASS,
                    backward=LinkMode.DROP if loses_answers else LinkMode.PASS,
                ),
            )
        return LinkRules(tuple(rules))

    async def kill_all(self) -> None:
        """End all relays."""
        for process in self.relays.values():
            await process.kill()
