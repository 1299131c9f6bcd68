"""Reads the settings file of a router."""

from collections.abc import Iterator
from pathlib import Path

from pollenloom.core.host_port import split_ipv4_address
from pollenloom.settings.router_settings import RouterSettings
from pollenloom.validation.file_problem import FileProblem
from pollenloom.validation.text_file import read_text
from pollenloom.validation.toml_file import CheckedFile, check_text
from pollenloom.validation.untrusted_bytes import validated


def load_settings(path: Path) -> CheckedFile[RouterSettings]:
    """Return the settings of a file, or all problems found in it.

    Relative paths in the file are resolved against its directory.
    """
    text, problem = read_text(path, str(path))
    if problem is not None:
        return CheckedFile(None, (problem,))
    checked = check_text(RouterSettings, str(path), text)
    if checked.model is None:
        return checked
    problems = tuple(check_settings(str(path), checked.model))
    if problems:
        return CheckedFile(None, problems)
    return CheckedFile(resolve_paths(checked.model, path.parent), ())


def resolve_paths(settings: RouterSettings, base: Path) -> RouterSettings:
    """Return the settings with relative paths resolved against `base`."""
    key_file = base / settings.peers.fleet_key_file
    peers = settings.peers.model_copy(update={'fleet_key_file': key_file})
    token_file = base / settings.operator_token_file
    return settings.model_copy(
        update={'peers': peers, 'operator_token_file': token_file},
    )


def check_settings(
    file: str,
    settings: RouterSettings,
) -> Iterator[FileProblem]:
    """Yield the problems of invalid and conflicting addresses."""
    addresses = {
        'callers': settings.callers,
        'operators': settings.operators,
        'peers.listen': settings.peers.listen,
    }
    for index, seed in enumerate(settings.peers.seeds):
        addresses[f'peers.seeds[{index}]'] = seed
    if settings.peers.advertise:
        addresses['peers.advertise'] = settings.peers.advertise
    for key, address in addresses.items():
        if not is_address(address):
            expected = 'an IP address and port such as 10.0.0.1:8080'
            yield FileProblem(file, key, expected, repr(address))
    # For port 0 the system chooses, so equal addresses do not conflict.
    has_dynamic_port = settings.operators.endswith(':0')
    if settings.callers == settings.operators and not has_dynamic_port:
        yield FileProblem(
            file,
            'operators',
            'an address different from `callers`',
            repr(settings.operators),
        )


def is_address(address: str) -> bool:
    """Whether an address has an IPv4 address and a port in range."""
    return validated(lambda: split_ipv4_address(address)).is_ok()
