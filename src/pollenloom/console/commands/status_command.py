"""`pollenloom status`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.console import status_tables
from pollenloom.console.operator_options import OperatorOptions


@cappa.command(
    name='status',
    help='Show the status of the fleet.',
    description='Shows routers, data centres, the configuration in force, '
    'pools, backend servers, shares and queues of client accounts, and '
    'version moves. One router collects the status from the others; those '
    'that do not reply within 1 s are listed.',
)
@dataclass(kw_only=True)
class StatusCommand(OperatorOptions):
    """Shows the status of the fleet."""

    idle: Annotated[
        bool,
        cappa.Arg(
            long='--idle',
            help='Also show client accounts without requests.',
        ),
    ] = False

    def __call__(self) -> None:
        """Request the status and print it."""
        status = self.wait_for(self.client().status())
        self.show(
            status,
            status_tables.summarize(status),
            status_tables.data_centre_table(status),
            status_tables.member_table(status),
            status_tables.pool_table(status),
            status_tables.server_table(status),
            status_tables.account_table(status, idle=self.idle),
            status_tables.move_table(status.moves),
        )
