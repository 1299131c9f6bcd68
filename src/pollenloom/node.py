"""Runs a router on a VM of the users' platform: `python3 -m pollenloom.node`.

This does the same as `pollenloom node` without the libraries of the command
line. They take 15 MB of memory, which is paid for on these VMs, and half of
the start time.
"""

import sys

from pollenloom.console.node_process import run_node

if __name__ == '__main__':
    sys.exit(run_node(None))
