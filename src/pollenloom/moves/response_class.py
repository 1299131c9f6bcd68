"""Classes in which routers count responses during a version move."""

from collections.abc import Mapping
from enum import Enum, unique

from pollenloom.core.ids import ResponseClass, RouteId, VersionId


@unique
class ResponsePhase(Enum):
    """Part of a response that is judged by itself."""

    FIRST_BYTE = 'first_byte'
    REST = 'rest'


def response_class(
    to_version: VersionId,
    route: RouteId,
    phase: ResponsePhase,
    *,
    is_new: bool,
    is_bad: bool,
) -> ResponseClass:
    """Return the class of one phase of a response.

    The last two words are the version's role and the verdict; the words
    before them name what is compared.
    """
    role = 'new' if is_new else 'old'
    verdict = 'bad' if is_bad else 'good'
    return ResponseClass(f'{to_version} {route} {phase.value} {role} {verdict}')


def compared_groups(
    counts: Mapping[ResponseClass, float], to_version: VersionId
) -> set[str]:
    """Return the groups of one move that have counts, without role."""
    return {
        name.rsplit(' ', 2)[0]
        for name in counts
        if name.startswith(f'{to_version} ')
    }


def class_in_group(group: str, role: str, verdict: str) -> ResponseClass:
    """Return a class of a group."""
    return ResponseClass(f'{group} {role} {verdict}')
