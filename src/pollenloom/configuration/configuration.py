"""The configuration in force."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pollenloom.core.ids import AccountId, Revision, ServiceId

if TYPE_CHECKING:
    from pollenloom.configuration.service_file import ServiceFile


@dataclass(frozen=True)
class Configuration:
    """Services of one configuration revision.

    Attributes:
        revision: Number of accepted changes so far; 0 is the initial, empty
            configuration.
        services: Service files by service id.
        publish_id: Id of the accepted publish that made this revision.
        publisher: Operator who published it.
        account_by_key_hash: Client accounts by the hashes of their API keys.
    """

    revision: Revision
    services: 'dict[ServiceId, ServiceFile]'
    publish_id: str = ''
    publisher: str = ''
    account_by_key_hash: dict[str, AccountId] = field(init=False)

    def __post_init__(self) -> None:
        """Index the client accounts by the hashes of their API keys."""
        index: dict[str, AccountId] = {}
        for service in self.services.values():
            for account in service.accounts:
                index.update(dict.fromkeys(account.key_hashes, account.name))
        object.__setattr__(self, 'account_by_key_hash', index)
