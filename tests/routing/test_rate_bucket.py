"""Rate at which one router sends to a server that names a limit."""

import pytest

from pollenloom.routing.rate_bucket import RateBucket, RateQuota

STEP_SECONDS = 0.01
PHASE = 0.5


@pytest.fixture
def bucket() -> RateBucket:
    """A bucket that was never used."""
    return RateBucket()


def send_all(
    bucket: RateBucket, rate: float, start: float, seconds: float
) -> int:
    """Send as often as allowed; return how often."""
    sent = 0
    for step in range(int(seconds / STEP_SECONDS)):
        now = start + step * STEP_SECONDS
        if bucket.may_send(RateQuota(rate, PHASE), now):
            bucket.mark_sent()
            sent += 1
    return sent


@pytest.mark.parametrize('rate', [0.1, 1, 7.5, 40])
def test_rate_is_kept_and_used(bucket: RateBucket, rate: float) -> None:
    """Guards against a limit that is exceeded, or left unused by rounding."""
    sent = send_all(bucket, rate, 0, 40)
    assert rate * 40 - 1 <= sent <= rate * 40 + 1


def test_pause_is_not_made_up_for(bucket: RateBucket) -> None:
    """Guards against a burst after a time without requests."""
    send_all(bucket, 5, 0, 10)
    assert send_all(bucket, 5, 60, 0.1) <= 2


def test_unused_turn_lapses(bucket: RateBucket) -> None:
    """Guards against routers that all use an old permission at once."""
    quota = RateQuota(0.1, PHASE)
    assert not bucket.may_send(quota, 0)
    assert bucket.may_send(quota, 6)
    assert not bucket.may_send(quota, 8)


def test_lower_limit_applies_at_once(bucket: RateBucket) -> None:
    """Guards against credit that a higher limit left behind."""
    bucket.may_send(RateQuota(100, PHASE), 0)
    bucket.may_send(RateQuota(100, PHASE), 1)
    assert send_all(bucket, 1, 1, 4) <= 6
