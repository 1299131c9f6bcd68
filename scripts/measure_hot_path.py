"""Measures the routers' processor time per relayed event and per request.

Needs `src` in PYTHONPATH. With --before REVISION it also measures that
revision in the same run and prints the ratio of this checkout to it.
"""

from pathlib import Path

from pollenloom_standins.capacity.hot_path_run import measure_hot_path

ROOT = Path(__file__).resolve().parent.parent

if __name__ == '__main__':
    measure_hot_path(ROOT)
