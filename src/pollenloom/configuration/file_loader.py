"""Parses and checks the texts of service files."""

from collections.abc import Mapping
from datetime import datetime
from typing import Final, NamedTuple

from pollenloom.configuration.file_cache import FileCache
from pollenloom.configuration.file_checks import NO_DATES, check_services
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.ids import ServiceId
from pollenloom.validation.file_problem import FileProblem

FILE_CACHE: Final = FileCache()


class LoadedServices(NamedTuple):
    """Services by id, incomplete if there are problems."""

    services: dict[ServiceId, ServiceFile]
    problems: tuple[FileProblem, ...]


def load_services(
    files: Mapping[str, str],
    now: float,
    dates_in_force: Mapping[ServiceId, datetime] = NO_DATES,
) -> LoadedServices:
    """Check all files, individually and together.

    Args:
        files: Texts by file name.
        now: Wall time, seconds since the Unix epoch.
        dates_in_force: Shutdown dates that are already accepted.
    """
    problems: list[FileProblem] = []
    valid: dict[str, ServiceFile] = {}
    for file, checked in FILE_CACHE.load(files).items():
        problems.extend(checked.problems)
        if checked.model is not None:
            valid[file] = checked.model
    problems.extend(check_services(valid, now, dates_in_force))
    services = {service.service: service for service in valid.values()}
    return LoadedServices(services, tuple(sorted(problems)))


def load_accepted_services(
    files: Mapping[str, str],
) -> dict[ServiceId, ServiceFile]:
    """Return the services of files that were already accepted.

    The checks across files are not repeated, because a shutdown date may have
    passed since. A file that this version cannot read is left out.
    """
    models = [checked.model for checked in FILE_CACHE.load(files).values()]
    return {model.service: model for model in models if model is not None}
