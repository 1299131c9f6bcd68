"""What client accounts asked and got of a fleet, from the logs of a run."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Self

import msgspec

from pollenloom.core.ids import AccountId, ServiceId
from pollenloom_standins.shares.account_second import AccountSecond
from pollenloom_standins.shares.share_line import ShareLine, parse_line

AccountSeconds = dict[AccountId, list[AccountSecond]]
SecondCounts = defaultdict[int, AccountSecond]


class ShareLog:
    """Sums over the routers of a fleet, by service, account and second.

    Attributes:
        services: What accounts asked and got, by second since the Unix epoch.
        origins: Begins of the run that the lines tell, in seconds since the
            Unix epoch, with the number of lines.
        left_out: Accounts that lines did not list, counted once a line.
        unreadable: Lines that were cut off.
    """

    def __init__(self) -> None:
        self.services: dict[ServiceId, dict[AccountId, SecondCounts]] = {}
        self.origins: Counter[int] = Counter()
        self.left_out = 0
        self.unreadable = 0

    @classmethod
    def from_lines(cls, lines: Iterable[str]) -> Self:
        """Return the sums of all lines; those of other events are ignored."""
        log = cls()
        for line in lines:
            try:
                parsed = parse_line(line)
            except msgspec.DecodeError:
                log.unreadable += 1
                continue
            if parsed is not None:
                log.add(*parsed)
        return log

    def add(self, line: ShareLine, origin: float) -> None:
        """Add what one router tells about one second."""
        self.origins[round(origin)] += 1
        self.left_out += line.fields.left_out
        accounts = self.services.setdefault(line.subject, {})
        for account, activity in line.fields.activities():
            seconds = accounts.setdefault(account, defaultdict(AccountSecond))
            seconds[line.fields.second].add(activity)

    @property
    def origin(self) -> int:
        """Begin of the run, in seconds since the Unix epoch.

        Clocks of some routers may be wrong; most are right.
        """
        return self.origins.most_common(1)[0][0]

    def seconds(self, service: ServiceId) -> range:
        """Return the seconds of the run in which a service was asked."""
        numbers = [
            second - self.origin
            for counts in self.services[service].values()
            for second in counts
        ]
        return range(min(numbers), max(numbers) + 1)

    def table(self, service: ServiceId, seconds: range) -> AccountSeconds:
        """Return what each account asked and got in seconds of the run."""
        return {
            account: [
                counts.get(second + self.origin, AccountSecond())
                for second in seconds
            ]
            for account, counts in self.services[service].items()
        }
