"""Findings in a configuration that routers would use."""

from collections.abc import Iterator

from pollenloom.configuration.configuration_entries import (
    ConfigurationEntries,
    EntryField,
    ServicePlace,
)
from pollenloom.configuration.configuration_finding import (
    ConfigurationFinding,
    warning,
)
from pollenloom.configuration.route_inspection import inspect_routes

Findings = Iterator[ConfigurationFinding]


def inspect_entries(
    entries: ConfigurationEntries,
) -> list[ConfigurationFinding]:
    """Return entries without effect and limits that contradict each other."""
    return [
        *inspect_routes(entries),
        *find_service_contradictions(entries),
        *find_account_conflicts(entries),
        *find_limit_contradictions(entries),
    ]


def find_service_contradictions(entries: ConfigurationEntries) -> Findings:
    """Yield services that no route uses, or with settings of no effect."""
    used = {
        entry.service
        for place in entries.routes
        for entry in place.route.services
    }
    latest: dict[str, ServicePlace] = {}
    for place in entries.services:
        profile = place.profile
        earlier = latest.get(profile.service)
        latest[profile.service] = place
        if earlier is not None:
            yield warning(
                earlier.path, f'has no effect: {place.path} has the same name'
            )
        if profile.service not in used:
            yield warning(place.path, f'no route uses {profile.service!r}')
        if profile.cold_rate and not profile.cold_seconds:
            yield warning(
                entries.field_path(place.path, EntryField.COLD_RATE),
                'has no effect: servers are never cold',
            )
        if profile.scaling is not None and not profile.scaling.smallest:
            yield warning(
                entries.field_path(place.path, EntryField.SCALING),
                'a data centre may be left without servers',
            )


def find_account_conflicts(entries: ConfigurationEntries) -> Findings:
    """Yield API keys that are empty or repeated; no key is shown."""
    owners: dict[str, tuple[str, str]] = {}
    for place in entries.accounts:
        if not place.keys:
            yield warning(place.path, f'{place.account!r} has no API key')
        for path, key in place.keys:
            if not key:
                yield warning(path, 'has no effect: the key is empty')
                continue
            earlier = owners.setdefault(key, (place.account, path))
            owners[key] = (place.account, path)
            if earlier != owners[key]:
                yield repeated_key(path, place.account, *earlier)


def repeated_key(
    path: str, account: str, earlier_account: str, earlier_path: str
) -> ConfigurationFinding:
    """Return the finding for a key that an earlier path has, too."""
    if account == earlier_account:
        return warning(path, f'the same key is at {earlier_path}')
    return warning(
        path,
        f'key of two accounts: {earlier_account!r} has it at {earlier_path}'
        f' and loses it to {account!r}',
    )


def find_limit_contradictions(entries: ConfigurationEntries) -> Findings:
    """Yield limits on callers that contradict each other or reject all."""
    limits = entries.configuration.limits
    amounts = {
        EntryField.HEADER_BYTES: limits.header_bytes,
        EntryField.BODY_BYTES: limits.body_bytes,
        EntryField.HEADER_SECONDS: limits.header_seconds,
        EntryField.IDLE_SECONDS: limits.idle_seconds,
    }
    for entry_field, amount in amounts.items():
        if not amount:
            path = entries.field_path(entries.limits_path, entry_field)
            yield warning(path, '0 leaves no room for any request')
    if 0 < limits.body_bytes < limits.header_bytes:
        yield warning(
            entries.field_path(entries.limits_path, EntryField.BODY_BYTES),
            f'{limits.body_bytes} bytes of body are fewer than the'
            f' {limits.header_bytes} of headers',
        )
    if 0 < limits.idle_seconds < limits.header_seconds:
        yield warning(
            entries.field_path(entries.limits_path, EntryField.IDLE_SECONDS),
            f'{limits.idle_seconds:g} s are fewer than the'
            f' {limits.header_seconds:g} s for headers',
        )
