"""Headers that the router adds to answers."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime
from typing import Final

from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import RequestId

SUNSET_NOTICE: Final = timedelta(days=30)


def router_headers(
    request_id: RequestId,
    service: ServiceFile | None,
    wall: float,
) -> dict[str, str]:
    """Return the headers of every answer; `wall` is seconds since 1970."""
    headers = {'x-request-id': str(request_id)}
    if service is None:
        return headers
    left = service.shutdown_date - datetime.fromtimestamp(wall, UTC)
    if left <= SUNSET_NOTICE:
        headers['sunset'] = format_datetime(
            service.shutdown_date.astimezone(UTC),
            usegmt=True,
        )
    return headers
