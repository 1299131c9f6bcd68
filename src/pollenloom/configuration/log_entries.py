"""Configuration records in the platform's log."""

import msgspec

from pollenloom.core.ids import DataCentreId, Offset, PublishId, Revision, VmId
from pollenloom.core.states import DataCentreState
from pollenloom.log_service.log_entry import LogEntry


class ConfigurationChange(
    LogEntry,
    frozen=True,
    kw_only=True,
    tag='configuration_change',
):
    """Change of the configuration that an operator publishes.

    Attributes:
        publish_id: Unique id, the same in each copy if the append is repeated.
        base_revision: Revision that the files were based on.
        publisher: Operator who publishes.
        files: Texts of all files of the configuration, by file name.
    """

    publish_id: PublishId
    base_revision: Revision
    publisher: str
    files: dict[str, str]


class AcceptedPublish(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted change, without its files."""

    publish_id: PublishId
    revision: Revision
    publisher: str


class DataCentreChange(
    LogEntry,
    frozen=True,
    kw_only=True,
    tag='data_centre_change',
):
    """State of a data centre as the operators set it.

    Attributes:
        data_centre: The data centre.
        state: Whether it may receive new requests.
        counter: Version of the register, compared first.
        origin: VM that the state was set on; breaks ties.
    """

    data_centre: DataCentreId
    state: DataCentreState
    counter: int
    origin: VmId


class ConfigurationSnapshot(
    LogEntry,
    frozen=True,
    kw_only=True,
    tag='configuration_snapshot',
):
    """Configuration in force, appended again before its change is trimmed.

    Also the payload of the register `configuration`.

    Attributes:
        position: Offset up to which all changes are included, exclusive.
        revision: Number of accepted changes; 0 is the initial, empty
            configuration.
        publish_id: Publish that created the revision.
        publisher: Operator who published it.
        files: Texts by file name.
        recent: Latest accepted publishes, oldest first.
        data_centres: States of data centres; empty in the register.
    """

    position: Offset
    revision: Revision = Revision(0)
    publish_id: PublishId = PublishId('')
    publisher: str = ''
    files: dict[str, str] = msgspec.field(default_factory=dict)
    recent: tuple[AcceptedPublish, ...] = ()
    data_centres: tuple[DataCentreChange, ...] = ()
