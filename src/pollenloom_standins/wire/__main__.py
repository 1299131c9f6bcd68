"""Command-line interface of the wire fuzzer."""

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from pollenloom_standins.wire.conversation import Conversation
from pollenloom_standins.wire.wire_report import (
    draw_report,
    encode_report,
    print_report,
)
from pollenloom_standins.wire.wire_run import (
    WireRun,
    run_chosen,
    run_generated,
)


@cappa.command(name='wire')
@dataclass
class WireCommand:
    """Play generated conversations between clients, a router and servers.

    What clients and servers see is judged by the rules of the users' pages.
    Exits with code 1 if a rule was broken.

    Attributes:
        conversations: Conversations to generate.
        seed: Seed of the generator.
        shrink: Look for shorter conversations that break the same rule, and
            stop then; otherwise play all.
        replay: Conversations to play instead, as files that `output` has.
        json: Print the report as JSON.
        output: Directory for the shortest conversation that broke each rule.
        picture: PNG file for a picture of the outcomes.
    """

    conversations: Annotated[int, cappa.Arg(long=True)] = 1000
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    shrink: Annotated[bool, cappa.Arg(long=True)] = False
    replay: Annotated[list[Path] | None, cappa.Arg(long=True)] = None
    json: Annotated[bool, cappa.Arg(long=True)] = False
    output: Annotated[Path | None, cappa.Arg(long=True)] = None
    picture: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Play the conversations and report what was seen."""
        with tempfile.TemporaryDirectory() as directory:
            run = self.play(Path(directory))
        if self.json:
            sys.stdout.write(f'{encode_report(run).decode()}\n')
        else:
            print_report(run)
        if self.output is not None:
            write_conversations(run, self.output)
        if self.picture is not None:
            draw_report(run, self.picture)
        if run.broken:
            raise cappa.Exit(code=1)

    def play(self, directory: Path) -> WireRun:
        """Play the files to replay, or generated conversations."""
        if self.replay is None:
            return run_generated(
                directory, self.conversations, self.seed, shrinks=self.shrink
            )
        return run_chosen(
            directory, [read_conversation(path) for path in self.replay]
        )


def read_conversation(path: Path) -> Conversation:
    """Return the conversation in a file."""
    return msgspec.json.decode(path.read_bytes(), type=Conversation)


def write_conversations(run: WireRun, directory: Path) -> None:
    """Write the shortest conversation that broke each rule to a file."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, broken in run.broken.items():
        encoded = msgspec.json.encode(broken.shortest)
        text = msgspec.json.format(encoded.decode())
        (directory / f'{name}.json').write_text(f'{text}\n', 'utf-8')


def main() -> None:
    """Run the command."""
    cappa.invoke(WireCommand)


if __name__ == '__main__':
    main()
