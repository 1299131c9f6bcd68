"""Registers `data_centre/<id>` and their records in the log."""

import msgspec

from pollenloom.configuration.log_entries import DataCentreChange
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.membership.register_value import RegisterValue

DATA_CENTRE_PREFIX = 'data_centre/'


class DataCentrePayload(msgspec.Struct, frozen=True):
    """JSON payload of the register."""

    state: DataCentreState


def make_key(data_centre: DataCentreId) -> str:
    """Return the key of a data centre's register."""
    return f'{DATA_CENTRE_PREFIX}{data_centre}'


def make_register(change: DataCentreChange) -> RegisterValue:
    """Return the register of a state."""
    payload = msgspec.json.encode(DataCentrePayload(change.state))
    return RegisterValue(change.counter, change.origin, payload)


def read_register(key: str, register: RegisterValue) -> DataCentreChange:
    """Return the state of a register.

    Raises:
        ValueError: If the payload is broken.
    """
    try:
        payload = msgspec.json.decode(
            register.payload,
            type=DataCentrePayload,
        )
    except msgspec.DecodeError as error:
        raise ValueError(f'broken data centre state: {error}') from error
    return DataCentreChange(
        data_centre=DataCentreId(key.removeprefix(DATA_CENTRE_PREFIX)),
        state=payload.state,
        counter=register.counter,
        origin=VmId(register.origin),
    )
