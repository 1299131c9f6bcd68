"""Next step of a router that competes for a duty."""

from enum import Enum, unique


@unique
class LeaseStep(Enum):
    """What to do now; all but WAIT are calls to the store."""

    WAIT = 'wait'
    READ = 'read'
    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'
