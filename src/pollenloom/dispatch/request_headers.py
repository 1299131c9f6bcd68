"""Headers that the router sets and forwards."""

from collections.abc import Mapping
from typing import Final

from pollenloom.dispatch.backend_call import BackendCall

REQUEST_ID: Final = 'x-request-id'

# Hop-by-hop headers (RFC 9110, 7.6.1), headers that the client library sets and
# headers that only the router may set.
NOT_FORWARDED: Final = frozenset(
    (
        'accept-encoding',
        'authorization',
        'connection',
        'content-length',
        'date',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-account',
        'x-fencing-number',
        'x-prefix-hashes',
        REQUEST_ID,
        'x-resume-from',
        'x-timeout-seconds',
    )
)


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward, with lower-case names."""
    lowered = {name.lower(): text for name, text in headers.items()}
    named = lowered.get('connection', '').lower().split(',')
    dropped = NOT_FORWARDED.union(name.strip() for name in named)
    return {name: text for name, text in lowered.items() if name not in dropped}


def build_headers(call: BackendCall) -> dict[str, str]:
    """Return the headers of a request to a backend server."""
    request = call.request
    headers = forwarded_headers(request.headers)
    headers['X-Request-Id'] = request.request_id
    headers['X-Fencing-Number'] = str(call.fencing_number)
    headers['X-Account'] = request.account
    headers['X-Timeout-Seconds'] = f'{call.timeout_seconds:.3f}'
    if request.prefix_hashes:
        headers['X-Prefix-Hashes'] = ','.join(
            str(prefix_hash) for prefix_hash in request.prefix_hashes
        )
    if request.idempotency_key is not None:
        headers['Idempotency-Key'] = request.idempotency_key
    if call.resume_from:
        headers['X-Resume-From'] = str(call.resume_from)
    return headers
