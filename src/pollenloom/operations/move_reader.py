"""Reading of version moves from the configuration and the registers."""

from typing import Any, Final

import msgspec

from pollenloom.configuration.move_entry import MoveEntry
from pollenloom.core.ids import ServiceId
from pollenloom.kernel.kernel import Kernel
from pollenloom.moves.move_key import register_key
from pollenloom.moves.move_log import read_record
from pollenloom.operations.fleet_status import MoveView
from pollenloom.operations.operator_dependencies import OperatorDependencies

NOT_STARTED: Final = 'waiting'


class MoveReader:
    """Joins each configured move with the last record of its evaluator."""

    def __init__(self, kernel: Kernel) -> None:
        self.dependencies = OperatorDependencies(kernel)

    def moves(self) -> tuple[MoveView, ...]:
        """Return all configured moves, sorted by id."""
        configuration = self.dependencies.configuration.current
        views = [
            self.view(service.service, service.move)
            for service in configuration.services.values()
            if service.move is not None
        ]
        return tuple(sorted(views, key=lambda view: view.move))

    def view(self, service: ServiceId, move: MoveEntry) -> MoveView:
        """Return a move with its state."""
        record = self.record(register_key(service, move))
        start, finish_by = move.window()
        return MoveView(
            move=move.name,
            service=service,
            from_version=move.from_version,
            to_version=move.to_version,
            start=start.isoformat(),
            finish_by=finish_by.isoformat(),
            state=str(record.get('state', NOT_STARTED)),
            record=record,
        )

    def record(self, key: str) -> dict[str, Any]:
        """Return the last record of the evaluator; empty if there is none."""
        register = self.dependencies.registers.get(key)
        if register is None:
            return {}
        record: dict[str, Any] = msgspec.to_builtins(read_record(register))
        return record
