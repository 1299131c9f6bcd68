"""Payload of the register `configuration`."""

import zlib

from pollenloom.configuration.log_entries import ConfigurationSnapshot
from pollenloom.log_service.log_entry import decode_entry, encode_entry
from pollenloom.membership.register_value import RegisterValue

CONFIGURATION_KEY = 'configuration'


def encode_snapshot(snapshot: ConfigurationSnapshot) -> RegisterValue:
    """Return the register value; its version is revision and publish id."""
    return RegisterValue(
        snapshot.revision,
        snapshot.publish_id,
        zlib.compress(encode_entry(snapshot)),
    )


def decode_snapshot(register: RegisterValue) -> ConfigurationSnapshot:
    """Return the snapshot in a register.

    Raises:
        ValueError: If the payload is not a valid snapshot.
    """
    try:
        entry = decode_entry(zlib.decompress(register.payload))
    except zlib.error as error:
        raise ValueError(f'invalid configuration register: {error}') from error
    if not isinstance(entry, ConfigurationSnapshot):
        raise ValueError('configuration register holds no snapshot')
    return entry
