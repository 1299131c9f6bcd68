"""Measures how costs grow with client accounts, backlog, requests and orders.

Needs `src` in PYTHONPATH. Prints processor time, bytes and memory at three
sizes each, with the fitted slopes, for docs/CAPACITY.md.
"""

from pollenloom_standins.capacity.slopes_run import measure_slopes

if __name__ == '__main__':
    measure_slopes()
