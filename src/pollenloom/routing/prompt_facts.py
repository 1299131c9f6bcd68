"""Facts about prompts and the crashes of backend servers."""

from dataclasses import dataclass

from pollenloom.core.ids import AccountId, PromptPartId, ServerId, ServiceId


@dataclass(frozen=True, slots=True)
class PromptCrash:
    """A request that had hardly been answered when its server crashed.

    Attributes:
        server: The server.
        service: Service of the server.
        account: Client account; empty if there is none.
        parts: Shared parts of the prompt, and the identity of the request.
        started_at: Wall time of the server's start, as it states it, seconds;
            0 if unknown.
    """

    server: ServerId
    service: ServiceId
    account: AccountId
    parts: tuple[PromptPartId, ...]
    started_at: float = 0


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """An answer to a prompt with a certain part, which its server survived."""

    service: ServiceId
    part: PromptPartId


@dataclass(frozen=True, slots=True)
class BlockTrial:
    """A request with a blocked prompt that a router is about to try.

    Attributes:
        block: Key of the block.
        number: Number of the trial of that block, from 1.
    """

    block: str
    number: int


@dataclass(frozen=True, slots=True)
class PromptBlock:
    """Parts of prompts that together crash the servers of a service.

    Attributes:
        service: The service.
        parts: A prompt that holds all of them is blocked.
        accounts: Client accounts whose prompts are blocked; empty for all.
        crashes: Number of crashes that prove it.
    """

    service: ServiceId
    parts: tuple[PromptPartId, ...]
    accounts: tuple[AccountId, ...]
    crashes: int
