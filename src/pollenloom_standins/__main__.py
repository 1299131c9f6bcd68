"""Command-line interface of the stand-ins and experiments."""

from dataclasses import dataclass

import cappa

from pollenloom_standins.commands.application_command import (
    ApplicationCommand,
)
from pollenloom_standins.commands.demo_command import DemoCommand
from pollenloom_standins.commands.engine_command import EngineCommand
from pollenloom_standins.commands.measure_command import MeasureCommand
from pollenloom_standins.commands.platform_command import PlatformCommand
from pollenloom_standins.commands.relay_command import RelayCommand
from pollenloom_standins.commands.soak_command import SoakCommand


@cappa.command(name='pollenloom-standins')
@dataclass
class StandinsCommand:
    """Stand-ins for outside systems, for development and tests.

    Attributes:
        command: The stand-in to run.
    """

    command: cappa.Subcommands[
        PlatformCommand
        | EngineCommand
        | ApplicationCommand
        | RelayCommand
        | DemoCommand
        | SoakCommand
        | MeasureCommand
    ]


def main() -> None:
    """Run a stand-in until it is terminated."""
    cappa.invoke(StandinsCommand)


if __name__ == '__main__':
    main()
