"""Converts data centre states between registers and log records."""

import msgspec

from pollenloom.configuration.log_entries import DataCentreChange
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.membership.register_value import RegisterValue
from pollenloom.validation.untrusted_bytes import decode_json

DATA_CENTRE_PREFIX = 'data_centre/'


class DataCentrePayload(msgspec.Struct, frozen=True):
    """JSON payload of a register `data_centre/<id>`."""

    state: DataCentreState


def make_key(data_centre: DataCentreId) -> str:
    """Return the key of a data centre's register."""
    return f'{DATA_CENTRE_PREFIX}{data_centre}'


def make_register(change: DataCentreChange) -> RegisterValue:
    """Return the register value for a state."""
    payload = msgspec.json.encode(DataCentrePayload(change.state))
    return RegisterValue(change.counter, change.origin, payload)


def read_register(key: str, register: RegisterValue) -> DataCentreChange:
    """Return the log record for a register.

    Raises:
        ValueError: If the payload is not a valid data centre state.
    """
    decoded = decode_json(register.payload, DataCentrePayload)
    if decoded.is_error():
        raise ValueError(f'invalid data centre state: {decoded.error.detail}')
    return DataCentreChange(
        data_centre=DataCentreId(key.removeprefix(DATA_CENTRE_PREFIX)),
        state=decoded.ok.state,
        counter=register.counter,
        origin=VmId(register.origin),
    )
