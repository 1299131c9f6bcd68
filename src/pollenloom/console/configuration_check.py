"""Check of a configuration file against the code of a router."""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.operator_change import NewConfiguration
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.configuration.configuration_differences import (
    ConfigurationDifference,
    find_differences,
)
from pollenloom.configuration.configuration_entries import (
    ConfigurationEntries,
)
from pollenloom.configuration.configuration_finding import (
    ConfigurationFinding,
    Severity,
    error,
    warning,
)
from pollenloom.configuration.configuration_format import ConfigurationFormat
from pollenloom.configuration.configuration_inspection import inspect_entries
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.validation.json_lines import find_lines, syntax_error_line


@dataclass(frozen=True, slots=True)
class PlacedFinding:
    """A finding with its file and line."""

    file: str
    line: int
    finding: ConfigurationFinding

    def render(self) -> str:
        """Return the finding as one line."""
        found = self.finding
        path = f'{found.path}: ' if found.path else ''
        return f'{found.severity.value}: {self.file}:{self.line}: {path}' + (
            found.message
        )

    def to_json(self) -> dict[str, Any]:
        """Return the finding as JSON types."""
        return {
            'severity': self.finding.severity.value,
            'file': self.file,
            'line': self.line,
            'path': self.finding.path,
            'message': self.finding.message,
        }


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """A configuration file that was read.

    Attributes:
        file: Name of the file.
        text: Its text.
        entries: Its entries; None if it is not valid.
        findings: What was found.
    """

    file: str
    text: str
    entries: ConfigurationEntries | None
    findings: Sequence[ConfigurationFinding]

    def place_findings(self) -> list[PlacedFinding]:
        """Return the findings with their lines, in order of these."""
        lines = find_lines(self.text)
        if lines is None:
            line = syntax_error_line(self.text)
            return [
                PlacedFinding(self.file, line, found) for found in self.findings
            ]
        return sorted(
            (
                PlacedFinding(self.file, lines.line_of(found.path), found)
                for found in self.findings
            ),
            key=lambda placed: placed.line,
        )

    @property
    def is_valid(self) -> bool:
        """Whether routers take the configuration."""
        return not any(
            found.severity is Severity.ERROR for found in self.findings
        )


def check_file(path: Path, wire_format: ConfigurationFormat) -> CheckedFile:
    """Read a file and return what is found in it."""
    try:
        payload = path.read_bytes()
    except OSError as failed:
        found = error('', f'not readable: {failed.strerror}')
        return CheckedFile(str(path), '', None, (found,))
    text = payload.decode(errors='replace')
    decoded = wire_format.read(payload)
    if decoded.is_error():
        return CheckedFile(str(path), text, None, decoded.error)
    entries = decoded.ok
    return CheckedFile(str(path), text, entries, inspect_entries(entries))


def compare_entries(
    entries: ConfigurationEntries, current: RoutingConfiguration
) -> tuple[list[ConfigurationDifference], list[ConfigurationFinding]]:
    """Return what a configuration changes, and whether routers would see it."""
    new = entries.configuration
    differences = find_differences(new, current)
    if not differences or new.revision > current.revision:
        return differences, []
    return differences, [
        warning(
            entries.revision_path,
            f'{new.revision} is not above {current.revision}, which is in'
            ' force: routers ignore the configuration',
        )
    ]


async def read_in_force(
    store: KeyedStore,
) -> Result[RoutingConfiguration | None, Failure]:
    """Return the configuration in the store; None if there is none.

    Errors:
        PLATFORM_UNAVAILABLE: The store did not answer.
        CONFIGURATION_INVALID: Routers use an older one that is not known here.
    """
    async with AsyncExitStack() as stack:
        await store.start()
        stack.push_async_callback(store.stop)
        listing = await store.newest(StoreTopic.OPERATOR)
    if listing.is_error():
        return Error(listing.error)
    for record in listing.ok.records:
        change = store.read_operator_change(record)
        if change.is_error():
            if change.error.kind is ErrorKind.CONFIGURATION_INVALID:
                return Error(change.error)
        elif isinstance(change.ok, NewConfiguration):
            return Ok(change.ok.configuration)
    return Ok(None)
