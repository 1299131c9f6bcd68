"""Texts of service files for tests."""

import hashlib

# After all times that the tests use.
SHUTDOWN_DATE = '2027-06-30T12:00:00+02:00'
# 2026-01-01, seconds since the Unix epoch.
NOW = 1_767_225_600.0


def hash_key(key: str) -> str:
    """Return the hash by which a service file refers to an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def service_text(
    service: str = 'minutes',
    share: str = '1',
    date: str = SHUTDOWN_DATE,
    account: str = 'timber-desk',
    key: str = 'demo-key',
) -> str:
    """Return a valid service file of a model with one client account."""
    return f"""
service = '{service}'
resource = 'model'
shutdown_date = {date}
data_centres = ['enschede', 'hengelo']
versions = ['v1']

[[accounts]]
name = '{account}'
share = {share}
key_hashes = ['{hash_key(key)}']
"""
