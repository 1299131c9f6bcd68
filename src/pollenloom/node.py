"""Runs a router on the users' machines: `python3 -m pollenloom.node`.

It does what `pollenloom node` does, without the libraries of the command
line: they take 15 MB on machines whose memory is paid for, and half of the
time to start.
"""

import sys

from pollenloom.console.node_process import run_node

if __name__ == '__main__':
    sys.exit(run_node(None))
