"""Keeps checked service files, since most changes touch one of them."""

from typing import TYPE_CHECKING

from pollenloom.configuration.service_file import ServiceFile
from pollenloom.validation.toml_file import CheckedFile, check_text

if TYPE_CHECKING:
    from collections.abc import Mapping

CheckedServices = dict[str, CheckedFile[ServiceFile]]


class FileCache:
    """Checked files of the last two configurations that were loaded.

    A file of 2,600 client accounts takes 0.17 s to check and about 1.8 MB,
    so that neither checking all files nor keeping old ones is affordable.
    Threads may load at the same time; at worst a file is checked twice.
    """

    def __init__(self) -> None:
        self.latest: dict[tuple[str, str], CheckedFile[ServiceFile]] = {}
        self.previous = self.latest

    def clear(self) -> None:
        """Forget all files."""
        self.latest = {}
        self.previous = {}

    def load(self, files: 'Mapping[str, str]') -> CheckedServices:
        """Return the result of each file, by its name in sorted order."""
        known = {**self.previous, **self.latest}
        checked: CheckedServices = {}
        for file, text in sorted(files.items()):
            result = known.get((file, text))
            checked[file] = result or check_text(ServiceFile, file, text)
        self.previous = self.latest
        self.latest = {
            (name, files[name]): kept for name, kept in checked.items()
        }
        return checked
