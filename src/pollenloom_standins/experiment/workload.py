"""Sizes of the users' fleets, and the load on them."""

import hashlib
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from pollenloom.core.ids import AccountId, DataCentreId, ServiceId

MODEL_SERVERS: Final = 6
APPLICATION_SERVERS: Final = 3
SLOTS: Final = 8
COLD_SLOTS: Final = 2
# Time of a token of the stand-in engine without other requests.
TOKEN_SECONDS: Final = 0.02
# A full batch slows each step of the stand-in engine down by this factor.
FULL_BATCH_FACTOR: Final = 1.5


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Fleet and client accounts of one user.

    Attributes:
        name: Name of the user, and of the directory of the user's service
            files among the examples.
        data_centres: Data centres that VMs are spread over.
        routers: Number of routers.
        model: Service of the model backend servers.
        application: Service of the application backend servers.
        read_path: Path of an idempotent GET.
        search_path: Path of a repeatable POST; empty without one.
        large: Accounts with large shares that request more than their share.
        flooding: Accounts with a share of 1 that request a multiple of it.
    """

    name: str
    data_centres: tuple[DataCentreId, ...]
    routers: int
    model: ServiceId
    application: ServiceId
    read_path: str
    search_path: str = ''
    large: tuple[AccountId, ...]
    flooding: tuple[AccountId, ...]

    @property
    def capacity(self) -> float:
        """Tokens per second of all model servers together, at full batches."""
        step = TOKEN_SECONDS * FULL_BATCH_FACTOR
        return MODEL_SERVERS * SLOTS / step

    def shares(self, examples: Path) -> dict[AccountId, float]:
        """Read the accounts' shares of the model from its service file.

        `examples` is the directory with the users' directories.
        """
        path = examples / self.name / self.model / 'pollenloom.toml'
        content = tomllib.loads(path.read_text())
        return {entry['name']: entry['share'] for entry in content['accounts']}

    def data_centre_of(self, index: int) -> DataCentreId:
        """Return the data centre of the router or server with an index."""
        return self.data_centres[index % len(self.data_centres)]


def stable_index(text: str, size: int) -> int:
    """Return a number below `size`, always the same for the same text."""
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:8], 'big') % size
