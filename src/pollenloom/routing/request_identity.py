"""Identity of a request, which is the same when it comes again."""

from collections.abc import Iterable
from typing import Final

import xxhash

from pollenloom.core.ids import AccountId, PromptPartId

# Ids of the parts of prompts hold no colon.
PREFIX: Final = 'request:'


def request_identity(
    target: bytes,
    account: AccountId | None,
    body: bytes,
    prompt: Iterable[str] = (),
) -> PromptPartId:
    """Return the identity of a request, in the form of a prompt part.

    Like the last shared part of a prompt, it is held by fewer requests than
    all parts before it.

    Args:
        target: Path and query.
        account: Client account, if it is known.
        body: Body of the request.
        prompt: Ids of the prompt's parts, which tell requests without a body
            apart.
    """
    content = body or ','.join(prompt).encode()
    digest = xxhash.xxh3_64()
    for text in (target, (account or '').encode(), content):
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return PromptPartId(f'{PREFIX}{digest.hexdigest()}')


def is_identity(part: PromptPartId) -> bool:
    """Whether a part is the identity of a request."""
    return part.startswith(PREFIX)


def is_identity_key(key: str) -> bool:
    """Whether a key of facts, see `part_key`, is that of a request."""
    return is_identity(PromptPartId(key.partition('/')[2]))
