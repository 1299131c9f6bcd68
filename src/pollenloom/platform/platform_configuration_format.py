"""The operators' configuration with the places of its entries."""

import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec
from expression import Error, Ok, Result

from pollenloom.configuration.configuration_entries import (
    AccountPlace,
    ConfigurationEntries,
    EntryField,
    RoutePlace,
    ServicePlace,
)
from pollenloom.configuration.configuration_finding import (
    ConfigurationFinding,
    error,
)
from pollenloom.configuration.configuration_format import (
    ConfigurationFormat,
)
from pollenloom.core.ids import AccountId
from pollenloom.platform import wire_names
from pollenloom.platform.configuration_codec import (
    WireConfiguration,
    WireRoute,
    WireService,
    WireTenant,
    decode_wire,
    read_configuration,
    read_route,
    read_service,
)
from pollenloom.validation.untrusted_bytes import decode_json, validated

# Names of fields of the `Wire*` structs.
FIELD_NAMES: Final[Mapping[EntryField, str]] = MappingProxyType(
    {
        EntryField.HOST: 'host',
        EntryField.PREFIX: 'path_prefix',
        EntryField.KIND: 'route_type',
        EntryField.TIMEOUT: 'timeout_ms',
        EntryField.OBJECTIVE: 'target_latency_ms',
        EntryField.RESUMABLE: 'resumable',
        EntryField.COLD_RATE: 'cold_per_s',
        EntryField.SCALING: 'scaling',
        EntryField.HEADER_BYTES: 'max_header_bytes',
        EntryField.BODY_BYTES: 'max_body_bytes',
        EntryField.HEADER_SECONDS: 'header_timeout_ms',
        EntryField.IDLE_SECONDS: 'idle_timeout_ms',
    }
)
PART_TYPES: Final[Mapping[str, Any]] = MappingProxyType(
    {'routes': WireRoute, 'services': WireService, 'tenants': WireTenant}
)
LIMITS: Final = 'limits'
# How the decoder ends a message with the path of the value.
ERROR_PATH: Final = re.compile(
    r'^(?:\w+: )?(.*?)(?: - at `\$(.*)`)?$', re.DOTALL
)


class PlatformConfigurationFormat(ConfigurationFormat):
    """Format of the configuration record in the platform's store."""

    def read(
        self, payload: bytes
    ) -> Result[ConfigurationEntries, tuple[ConfigurationFinding, ...]]:
        """Return the entries, or all errors; see `ConfigurationFormat`."""
        decoded = decode_wire(payload)
        if decoded.is_ok():
            return Ok(read_entries(decoded.ok))
        found = tuple(find_part_errors(payload))
        return Error(found or (read_error('', decoded.error.detail),))


def find_part_errors(payload: bytes) -> Iterator[ConfigurationFinding]:
    """Yield the error of each entry; the decoder stops at the first one."""
    decoded = decode_json(payload, dict[str, Any])
    if decoded.is_error():
        return
    whole = decoded.ok
    for part, content in whole.items():
        part_type = PART_TYPES.get(part)
        if part_type is not None and isinstance(content, list):
            for index, entry in enumerate(content):
                yield from convert_error(f'{part}[{index}]', entry, part_type)
            whole[part] = []
    # What is left are the fields of the whole and its limits.
    yield from convert_error('', whole, WireConfiguration)


def convert_error(
    path: str, entry: Any, entry_type: Any
) -> Iterator[ConfigurationFinding]:
    """Yield the error of one entry, if it has one."""
    converted = validated(lambda: msgspec.convert(entry, entry_type))
    if converted.is_error():
        yield read_error(path, converted.error.detail)


def read_error(path: str, detail: str) -> ConfigurationFinding:
    """Return the finding for an error of the decoder below a path."""
    found = ERROR_PATH.match(detail)
    if found is None:
        return error(path, detail)
    below = found.group(2) or ''
    return error(f'{path}{below}'.lstrip('.'), found.group(1))


def read_entries(wire: WireConfiguration) -> ConfigurationEntries:
    """Return all entries with their paths."""
    return ConfigurationEntries(
        configuration=read_configuration(wire),
        routes=tuple(
            place_route(f'routes[{index}]', route)
            for index, route in enumerate(wire.routes)
        ),
        services=tuple(
            ServicePlace(f'services[{index}]', read_service(service))
            for index, service in enumerate(wire.services)
        ),
        accounts=tuple(
            place_account(f'tenants[{index}]', tenant)
            for index, tenant in enumerate(wire.tenants or ())
        ),
        limits_path=LIMITS,
        revision_path='version',
        names=FIELD_NAMES,
    )


def place_route(path: str, wire: WireRoute) -> RoutePlace:
    """Return a route with the paths of its services."""
    service_paths = tuple(
        f'{path}.weighted_services[{index}]'
        for index in range(len(wire.weighted_services))
    )
    return RoutePlace(
        path,
        read_route(wire),
        service_paths or (f'{path}.service',),
        is_known_kind=wire.route_type in wire_names.ROUTE_TYPES,
    )


def place_account(path: str, wire: WireTenant) -> AccountPlace:
    """Return a client account with the paths of its keys."""
    return AccountPlace(
        path,
        AccountId(wire.name),
        tuple(
            (f'{path}.api_keys[{index}]', key)
            for index, key in enumerate(wire.api_keys)
        ),
    )
