"""Headers that the router adds to responses."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime
from typing import Final

from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import RequestId

# How long before its shutdown date a service gets the `Sunset` header.
SUNSET_NOTICE: Final = timedelta(days=30)


def router_headers(
    request_id: RequestId,
    service: ServiceFile | None,
    wall: float,
) -> dict[str, str]:
    """Return the request id and, for a service near its end, `Sunset`.

    Args:
        request_id: Id of the request.
        service: Service that was called; None if there is none.
        wall: Present time, seconds since the Unix epoch.
    """
    headers = {'x-request-id': str(request_id)}
    if service is None:
        return headers
    time_left = service.shutdown_date - datetime.fromtimestamp(wall, UTC)
    if time_left <= SUNSET_NOTICE:
        headers['sunset'] = format_datetime(
            service.shutdown_date.astimezone(UTC),
            usegmt=True,
        )
    return headers
