"""Tests of the identity of requests."""

from itertools import combinations

from pollenloom.core.ids import AccountId
from pollenloom.routing.request_identity import is_identity, request_identity

SHOP = AccountId('shop')
BAKERY = AccountId('bakery')


def test_request_that_comes_again_is_recognised() -> None:
    """Guards against crashes of one request that are not put together.

    The prompt of a request with a body may be told in another way.
    """
    first = request_identity(b'/read/1', SHOP, b'body', ('a', 'b'))
    again = request_identity(b'/read/1', SHOP, b'body', ('c',))
    assert first == again
    assert is_identity(first)


def test_other_requests_have_other_identities() -> None:
    """Guards against sound requests that are refused with another one."""
    identities = (
        request_identity(b'/read/1', SHOP, b'body'),
        request_identity(b'/read/2', SHOP, b'body'),
        request_identity(b'/read/1', BAKERY, b'body'),
        request_identity(b'/read/1', None, b'body'),
        request_identity(b'/read/1', SHOP, b'other'),
        request_identity(b'/read/1', SHOP, b'', ('a', 'b')),
        request_identity(b'/read/1', SHOP, b'', ('a', 'c')),
        request_identity(b'/read/', AccountId('1shop'), b'body'),
    )
    assert all(one != other for one, other in combinations(identities, 2))
