"""Identifiers as distinct types for the type checker."""

from typing import Final, NewType

AccountId = NewType('AccountId', str)
ClaimId = NewType('ClaimId', str)
DataCentreId = NewType('DataCentreId', str)
# Rises with each change of the holder of a duty, so that calls of an earlier
# holder can be told.
FencingNumber = NewType('FencingNumber', int)
GrantId = NewType('GrantId', str)
MoveId = NewType('MoveId', str)
Offset = NewType('Offset', int)
# Number of the copy from which a store has come back; offsets of different eras
# can't be compared. 0 if the store tells none.
StoreEra = NewType('StoreEra', int)
NO_ERA: Final = StoreEra(0)
PoolId = NewType('PoolId', str)
PromptPartId = NewType('PromptPartId', str)
PublishId = NewType('PublishId', str)
RequestId = NewType('RequestId', str)
ResponseClass = NewType('ResponseClass', str)
Revision = NewType('Revision', int)
RouteId = NewType('RouteId', str)
ServerId = NewType('ServerId', str)
ServiceId = NewType('ServiceId', str)
VersionId = NewType('VersionId', str)
VmId = NewType('VmId', str)
# Number of a window of the wall clock, counted from the Unix epoch.
WindowNumber = NewType('WindowNumber', int)
