"""What the check of a configuration finds."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Severity(Enum):
    """How serious a finding is.

    Attributes:
        ERROR: Routers reject the configuration.
        WARNING: Routers use the configuration, with an entry that has no
            effect or contradicts another one.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class ConfigurationFinding:
    """A finding at one place of a configuration.

    Attributes:
        severity: How serious it is.
        path: Path of the entry or field; empty for the whole configuration.
        message: What is wrong; contains no API key.
    """

    severity: Severity
    path: str
    message: str


def error(path: str, message: str) -> ConfigurationFinding:
    """Return a finding for which routers reject the configuration."""
    return ConfigurationFinding(Severity.ERROR, path, message)


def warning(path: str, message: str) -> ConfigurationFinding:
    """Return a finding with which routers use the configuration."""
    return ConfigurationFinding(Severity.WARNING, path, message)
