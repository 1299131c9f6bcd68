"""Refusal of a request by local admission."""

from dataclasses import dataclass

from pollenloom.admission.refusal_cause import RefusalCause


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Why a request is refused, and when to ask again.

    Attributes:
        cause: What the request lacks.
        reason: Text for the log, with the inputs of the decision.
        wait_seconds: Time after which the request would probably be taken on.
    """

    cause: RefusalCause
    reason: str
    wait_seconds: float
