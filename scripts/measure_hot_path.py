"""Measures the routers' processor time per relayed event and per request.

Needs `src` in PYTHONPATH. With --before REVISION it measures that revision,
too, in the same run, and prints the ratio of after to before.
"""

from pathlib import Path

from pollenloom_standins.capacity.hot_path_run import measure_hot_path

ROOT = Path(__file__).resolve().parent.parent

if __name__ == '__main__':
    measure_hot_path(ROOT)
