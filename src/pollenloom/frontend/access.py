"""Authentication and authorization of callers."""

import hashlib
from datetime import UTC, datetime
from typing import Final

from expression import Error, Ok, Result

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId

BEARER_PREFIX: Final = 'bearer '


def authenticate(
    configuration: Configuration,
    authorization: str,
) -> Result[AccountId, Failure]:
    """Return the client account of a bearer key.

    Errors:
        NOT_CONFIGURED: This router has no configuration yet.
        UNAUTHENTICATED: The header has no bearer key, or an unknown one.
    """
    if not configuration.revision:
        return Error(
            Failure(
                ErrorKind.NOT_CONFIGURED,
                'no configuration has been received yet',
            )
        )
    if not authorization.lower().startswith(BEARER_PREFIX):
        return Error(
            Failure(
                ErrorKind.UNAUTHENTICATED,
                'send the API key as "Authorization: Bearer <key>"',
            )
        )
    key = authorization[len(BEARER_PREFIX) :].strip()
    key_hash = hashlib.sha256(key.encode(errors='replace')).hexdigest()
    account = configuration.account_by_key_hash.get(key_hash)
    if account is None:
        return Error(
            Failure(ErrorKind.UNAUTHENTICATED, 'no client account has this key')
        )
    return Ok(account)


def check_access(
    service: ServiceFile,
    account: AccountId,
    wall: float,
) -> Result[ServiceFile, Failure]:
    """Check that a service is not shut down and lists the client account.

    `wall` is the present time in seconds since the Unix epoch.

    Errors:
        FORBIDDEN: The service does not list the account.
        SERVICE_ENDED: The shutdown date has passed.
    """
    if service.find_account(account) is None:
        return Error(
            Failure(
                ErrorKind.FORBIDDEN,
                f'{service.service} does not list client account {account}',
            )
        )
    if datetime.fromtimestamp(wall, UTC) >= service.shutdown_date:
        ended = service.shutdown_date.isoformat()
        return Error(
            Failure(
                ErrorKind.SERVICE_ENDED,
                f'{service.service} was shut down on {ended}',
            )
        )
    return Ok(service)
