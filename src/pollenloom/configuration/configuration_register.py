"""Payload of the register `configuration`."""

import zlib

from pollenloom.configuration.log_entries import ConfigurationSnapshot
from pollenloom.log_service.log_entry import decode_entry, encode_entry
from pollenloom.membership.register_value import RegisterValue

CONFIGURATION_KEY = 'configuration'


def encode_snapshot(snapshot: ConfigurationSnapshot) -> RegisterValue:
    """Return the register; equal revisions of one publish are equal."""
    return RegisterValue(
        snapshot.revision,
        snapshot.publish_id,
        zlib.compress(encode_entry(snapshot)),
    )


def decode_snapshot(register: RegisterValue) -> ConfigurationSnapshot:
    """Return the configuration of a register.

    Raises:
        ValueError: If the payload is broken.
    """
    try:
        entry = decode_entry(zlib.decompress(register.payload))
    except zlib.error as error:
        raise ValueError(f'broken configuration: {error}') from error
    if not isinstance(entry, ConfigurationSnapshot):
        raise ValueError('not a configuration')
    return entry
