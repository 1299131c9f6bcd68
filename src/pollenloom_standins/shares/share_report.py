"""Tables of the shares of client accounts."""

from collections.abc import Iterable, Iterator

from pollenloom.core.ids import AccountId
from pollenloom_standins.shares.share_log import AccountSeconds
from pollenloom_standins.shares.share_window import ShareWindow

WINDOW_COLUMNS = (
    '  margin  from account           asked      owed     begun   largest'
    '  best                begun  short s'
)
SECOND_COLUMNS = (
    '  second     asked      sent     begun      owed      best  refused   late'
    '    beyond   no room not begun  repeated   surplus'
)


def window_rows(windows: Iterable[ShareWindow]) -> Iterator[str]:
    """Yield a table of windows, one line each."""
    yield WINDOW_COLUMNS
    for window in windows:
        yield (
            f'{window.margin:8.3f} {window.start:5d} {window.account:12}'
            f' {window.asked:10.0f}{window.owed:10.0f}{window.begun:10.0f}'
            f'{window.largest:10.0f}  {window.best:12}'
            f'{window.best_begun:13.0f}{window.short_seconds:9d}'
        )


def second_rows(
    accounts: AccountSeconds, seconds: range, account: AccountId
) -> Iterator[str]:
    """Yield what one account asked, got and was owed in each second.

    What it is owed in a second is what it asked for, up to what the best
    served account of that second got.
    """
    yield f'{account}\n{SECOND_COLUMNS}'
    for second, counts, *others in zip(
        seconds, accounts[account], *accounts.values(), strict=True
    ):
        best = max(other.begun for other in others)
        owed = min(counts.asked, best)
        yield (
            f'{second:8d}{counts.asked:10.0f}{counts.sent:10.0f}'
            f'{counts.begun:10.0f}{owed:10.0f}{best:10.0f}'
            f'{counts.refused:9d}{counts.late:7d}'
            f'{counts.beyond:10.0f}{counts.no_room:10.0f}'
            f'{counts.not_begun:10.0f}{counts.repeated:10.0f}'
            f'{counts.surplus:10.0f}'
        )
