"""Prints how near client accounts came to less than a fair share in a run.

Needs `src` in PYTHONPATH. Reads the log lines of all routers from a file or
standard input; `--help` lists the options.
"""

import cappa

from pollenloom_standins.commands.shares_command import SharesCommand

if __name__ == '__main__':
    cappa.invoke(SharesCommand)
