"""The executable file that `scripts/build` makes, run without the checkout."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import pytest

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.core.states import Resource
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)
from pollenloom_standins.fleet.process_fleet import ProcessFleet
from tests.runtime_limits import assert_within_runtime_limits

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS = 300
SETTINGS = """
vm = "vm-1"
data_centre = "hengelo"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
operator_token_file = "{directory}/operator-token"

[platform]
url = "http://127.0.0.1:9"

[peers]
listen = "127.0.0.1:0"
fleet_key_file = "{directory}/fleet-key"
"""
SERVICE = """
service = "stock"
resource = "application"
shutdown_date = 2030-01-01T00:00:00Z
data_centres = ["hengelo"]
versions = ["v1"]

[[accounts]]
name = "striker-club"
share = 1

[[routes]]
name = "read"
path = "/items/*"
methods = ["GET"]
"""


@pytest.fixture(scope='module')
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp('binary') / 'pollenloom'
    environment = os.environ | {
        # The environment of the tests has the pinned build tools.
        'POLLENLOOM_ENVIRONMENT': sys.prefix,
    }
    subprocess.run(
        [ROOT / 'scripts' / 'build', target],
        env=environment,
        check=True,
        timeout=TIMEOUT_SECONDS,
    )
    return target


@pytest.fixture(scope='module')
def bare_environment(binary: Path) -> dict[str, str]:
    """Environment variables with Python but without checkout and packages."""
    return {
        'PATH': f'{sys.base_prefix}/bin:/usr/bin:/bin',
        'SHIV_ROOT': str(binary.parent / 'unpacked'),
        'COLUMNS': '200',
    }


def test_commands_run_from_the_file_alone(
    binary: Path,
    bare_environment: dict[str, str],
    tmp_path: Path,
) -> None:
    """Guards against a file that needs a checkout to run."""
    service = tmp_path / 'stock'
    service.mkdir()
    (service / 'pollenloom.toml').write_text(SERVICE, encoding='utf-8')
    for arguments, expected in (
        (['--help'], 'router'),
        (['status', '--help'], '--operator'),
        (['check', str(tmp_path)], ''),
    ):
        result = subprocess.run(
            [binary, *arguments],
            env=bare_environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        assert result.returncode == 0, result.stderr
        assert expected in result.stdout


@pytest.fixture
def router(
    binary: Path,
    bare_environment: dict[str, str],
    tmp_path: Path,
) -> Iterator[subprocess.Popen[str]]:
    """A router started from the file, without a platform or other routers."""
    (tmp_path / 'operator-token').write_text('let-me-in', encoding='utf-8')
    (tmp_path / 'fleet-key').write_text('k' * 64, encoding='utf-8')
    settings = tmp_path / 'router.toml'
    text = SETTINGS.format(directory=tmp_path)
    settings.write_text(text, encoding='utf-8')
    with subprocess.Popen(
        [binary, 'router', '--settings', settings],
        env=bare_environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        yield process
        process.kill()


async def test_router_runs_in_one_process(
    router: subprocess.Popen[str],
) -> None:
    """Guards against child processes, io_uring and shared memory."""
    assert router.stdout is not None
    assert router.stderr is not None
    ready = json.loads(router.stdout.readline())['ready']
    assert ready['vm'] == 'vm-1'
    assert_within_runtime_limits(router.pid)
    # Without a platform it waits, is alive and reports why it is not ready.
    lines = map(json.loads, router.stderr)
    event = next(line for line in lines if 'platform' in line['event'])
    assert event['event'] == 'platform_unreachable'
    assert 'GET /log' in event['fields']['reason']
    async with aiohttp.ClientSession(f'http://{ready["operators"]}') as session:
        assert (await session.get('/healthz')).status == 200
        readiness = await session.get('/readyz')
        assert readiness.status == 503
        assert 'no configuration' in (await readiness.json())['state']
    router.terminate()
    assert router.wait(TIMEOUT_SECONDS) == 0


@pytest.fixture
def fleet(
    binary: Path,
    bare_environment: dict[str, str],
    tmp_path: Path,
) -> ProcessFleet:
    """One engine and one router started from the file."""
    data_centre = DataCentreId('hengelo')
    plan = FleetPlan(
        routers=(
            RouterPlan(
                vm=VmId('vm-1'),
                data_centre=data_centre,
                host='127.0.0.1',
            ),
        ),
        backends=(
            BackendPlan(
                vm=VmId('engine-1'),
                service=ServiceId('answers'),
                resource=Resource.MODEL,
                data_centre=data_centre,
            ),
        ),
        directories=(ROOT / 'examples' / 'carromwerk',),
    )
    one_router = ProcessFleet(plan, tmp_path)
    variables = (f'{name}={text}' for name, text in bare_environment.items())
    # `env` replaces itself, so the router has the id of the started process.
    one_router.router_command = ('env', '-i', *variables, str(binary))
    return one_router


async def test_call_through_a_router_from_the_file(fleet: ProcessFleet) -> None:
    """Guards against a file that starts but cannot serve."""
    async with fleet, aiohttp.ClientSession() as session:
        response = await session.post(
            f'{fleet.callers_url(VmId("vm-1"))}/v1/completions',
            json={'model': 'answers', 'prompt': 'striker weight? [tokens=5]'},
            headers={'Authorization': 'Bearer demo-key-webshop'},
        )
        assert response.status == 200, await response.text()
        usage = (await response.json())['usage']
        assert usage['completion_tokens'] == 5
        assert_within_runtime_limits(fleet.routers[VmId('vm-1')].pid)
