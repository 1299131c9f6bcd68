"""`measure_shares`."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom_standins.shares.share_log import ShareLog
from pollenloom_standins.shares.share_report import second_rows, window_rows
from pollenloom_standins.shares.share_window import (
    WINDOW_SECONDS,
    share_windows,
)


@cappa.command(name='measure_shares')
@dataclass(frozen=True)
class SharesCommand:
    """Print how near accounts came to less than a fair share in a run.

    Reads the log lines of all routers and prints, for each service, the windows
    with the smallest margins; below 0 the rule on shares is broken.

    Attributes:
        log: File with the log lines; standard input without one.
        windows: Number of windows to print.
        short_seconds: Seconds of a window in which a request of the account
            must have been refused or late; the rule holds for all of them.
        account: Also print what these accounts asked, got and were owed in
            each second.
        until: Seconds of the run that count; all without one.
    """

    log: Annotated[Path | None, cappa.Arg()] = None
    windows: Annotated[int, cappa.Arg(long=True)] = 10
    short_seconds: Annotated[int, cappa.Arg(long=True)] = WINDOW_SECONDS
    account: Annotated[list[str], cappa.Arg(long=True)] = field(
        default_factory=list
    )
    until: Annotated[int | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Print the tables."""
        for row in self.rows(self.read()):
            sys.stdout.write(f'{row}\n')

    def read(self) -> ShareLog:
        """Return the sums of the log."""
        if self.log is None:
            return ShareLog.from_lines(sys.stdin)
        with self.log.open(encoding='utf-8', errors='replace') as lines:
            return ShareLog.from_lines(lines)

    def rows(self, log: ShareLog) -> Iterator[str]:
        """Yield the lines of the report."""
        if not log.services:
            yield 'no line tells what accounts asked and got'
        if log.left_out or log.unreadable:
            yield (
                f'{log.left_out} accounts left out, {log.unreadable} lines cut'
            )
        for service in log.services:
            yield from self.service_rows(log, service)

    def service_rows(self, log: ShareLog, service: ServiceId) -> Iterator[str]:
        """Yield the tables of one service."""
        seconds = log.seconds(service)
        if self.until is not None:
            seconds = range(seconds.start, min(seconds.stop, self.until))
        accounts = log.table(service, seconds)
        windows = sorted(
            share_windows(accounts, seconds.start, self.short_seconds),
            key=lambda window: window.margin,
        )
        yield (
            f'service {service}: {len(accounts)} accounts, seconds'
            f' {seconds.start} to {seconds.stop}, {len(windows)} windows of'
            ' accounts that were short'
        )
        yield from window_rows(windows[: self.windows])
        for account in map(AccountId, self.account):
            if account in accounts:
                yield from second_rows(accounts, seconds, account)
