"""Interface of the format in which operators write a configuration."""

from abc import ABC, abstractmethod

from expression import Result

from pollenloom.configuration.configuration_entries import (
    ConfigurationEntries,
)
from pollenloom.configuration.configuration_finding import (
    ConfigurationFinding,
)


class ConfigurationFormat(ABC):
    """Reads a configuration by the code with which routers take it."""

    @abstractmethod
    def read(
        self, payload: bytes
    ) -> Result[ConfigurationEntries, tuple[ConfigurationFinding, ...]]:
        """Return the entries, or all errors for which routers reject it."""
