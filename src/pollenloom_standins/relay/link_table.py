"""The rules in force, with notification of changes."""

import asyncio

from pollenloom_standins.relay.link_rules import LinkRule, LinkRules


class LinkTable:
    """Holds the rules and notifies connections of changes."""

    def __init__(self, rules: LinkRules) -> None:
        self.rules = rules
        self.changed = asyncio.Event()

    def put(self, rules: LinkRules) -> None:
        """Replace the rules and wake all waiting tasks."""
        self.rules = rules
        self.changed.set()
        self.changed = asyncio.Event()

    def rule_for(self, source: str) -> LinkRule:
        """Return the rule in force for a caller."""
        return self.rules.rule_for(source)

    async def wait_for_change(self) -> None:
        """Wait until the rules change."""
        await self.changed.wait()
