"""Messages of the membership protocol."""

from pollenloom.membership.member import Member
from pollenloom.peers.peer_message import PeerMessage


class Heartbeat(PeerMessage, frozen=True):
    """Sent on each link twice a second and when entries have changed.

    Attributes:
        incarnation: Incarnation of the sender.
        digest: Hash of the sender's entries.
        register_digest: Hash of the sender's registers.
        changes: Entries that changed since the sender's last heartbeat.
    """

    incarnation: int
    digest: int
    register_digest: int = 0
    changes: tuple[Member, ...] = ()


class MemberExchange(PeerMessage, frozen=True):
    """Request with all entries of the sender.

    Attributes:
        entries: All entries, including those of dead members.
    """

    entries: tuple[Member, ...]


class MemberDifferences(PeerMessage, frozen=True):
    """Reply with the entries that the requesting router lacks.

    Attributes:
        entries: Entries that are newer than, or missing from, the request.
    """

    entries: tuple[Member, ...]
