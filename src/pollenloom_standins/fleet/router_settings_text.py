"""Settings file of a router in a fleet."""

from pathlib import Path

from pollenloom_standins.fleet.fleet_plan import RouterPlan


def router_settings_text(
    plan: RouterPlan,
    directory: Path,
    platform_url: str,
    seeds: tuple[str, ...],
) -> str:
    """Return a router's settings as TOML; the system chooses the ports."""
    quoted = ', '.join(f'"{seed}"' for seed in seeds)
    return '\n'.join(
        (
            f'vm = "{plan.vm}"',
            f'data_centre = "{plan.data_centre}"',
            f'callers = "{plan.host}:0"',
            f'operators = "{plan.host}:0"',
            f'operator_token_file = "{directory / "operator.token"}"',
            '[platform]',
            f'url = "{platform_url}"',
            '[peers]',
            f'listen = "{plan.peers or f"{plan.host}:0"}"',
            f'advertise = "{plan.advertise}"',
            f'seeds = [{quoted}]',
            f'fleet_key_file = "{directory / "fleet.key"}"',
            plan.sections,
        )
    )
