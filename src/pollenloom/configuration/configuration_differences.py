"""What a configuration changes of the one in force."""

from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum, unique
from typing import Any

from pollenloom.core.ids import AccountId
from pollenloom.routing.routing_configuration import RoutingConfiguration


@unique
class ChangeKind(Enum):
    """How an entry differs."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class ConfigurationDifference:
    """A difference from the configuration in force.

    Attributes:
        kind: How the entry differs.
        subject: Kind and name of the entry.
        detail: Old and new values, if it changed; contains no API key.
    """

    kind: ChangeKind
    subject: str
    detail: str = ''


Differences = Iterator[ConfigurationDifference]


def find_differences(
    new: RoutingConfiguration, current: RoutingConfiguration
) -> list[ConfigurationDifference]:
    """Return what a configuration changes of another one."""
    return [
        *compare('limits', {'': current.limits}, {'': new.limits}),
        *compare(
            'requires_keys',
            {'': current.requires_keys},
            {'': new.requires_keys},
        ),
        *compare('route', routes_of(current), routes_of(new)),
        *compare('service', current.services, new.services),
        *compare('account', keys_of(current), keys_of(new)),
    ]


def routes_of(configuration: RoutingConfiguration) -> dict[str, Any]:
    """Return the routes by host and prefix; the first one of these matches."""
    found: dict[str, Any] = {}
    for routes in configuration.routes.values():
        for route in routes:
            found.setdefault(f'{route.host}{route.prefix}', route)
    return found


def keys_of(
    configuration: RoutingConfiguration,
) -> dict[AccountId, frozenset[str]]:
    """Return the API keys of each account."""
    keys: dict[AccountId, set[str]] = {}
    for key, account in configuration.accounts.items():
        keys.setdefault(account, set()).add(key)
    return {name: frozenset(found) for name, found in keys.items()}


def compare(
    label: str, current: Mapping[Any, Hashable], new: Mapping[Any, Hashable]
) -> Differences:
    """Yield the differences between entries with the same names."""
    for name in sorted(current.keys() | new.keys()):
        subject = f'{label} {name}'.strip()
        before, after = current.get(name), new.get(name)
        if before is None:
            yield ConfigurationDifference(ChangeKind.ADDED, subject)
        elif after is None:
            yield ConfigurationDifference(ChangeKind.REMOVED, subject)
        elif before != after:
            yield ConfigurationDifference(
                ChangeKind.CHANGED, subject, describe_change(before, after)
            )


def describe_change(before: Any, after: Any) -> str:
    """Return the fields that differ, or how many keys were changed."""
    if isinstance(before, frozenset):
        return (
            f'{len(after - before)} keys added, {len(before - after)} removed'
        )
    if isinstance(before, bool):
        return f'{before} -> {after}'
    changes = []
    for known in fields(before):
        old, new = getattr(before, known.name), getattr(after, known.name)
        if old != new:
            changes.append(f'{known.name} {show(old)} -> {show(new)}')
    return ', '.join(changes)


def show(content: Any) -> str:
    """Return a value as text for people."""
    if isinstance(content, Enum):
        return str(content.value)
    if isinstance(content, tuple):
        return ' '.join(f'{part.service}:{part.weight:g}' for part in content)
    if is_dataclass(content):
        parts = (
            f'{known.name}={getattr(content, known.name)}'
            for known in fields(content)
        )
        return ' '.join(parts)
    return str(content)
