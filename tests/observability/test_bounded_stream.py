"""Non-blocking output stream for logs."""

import os

from pollenloom.observability.bounded_stream import BoundedStream


def test_stream_can_be_closed_like_any_other() -> None:
    """Guards against a traceback behind the last line of a router that stops.

    The logging library closes its streams at the end of the process.
    """
    reader, writer = os.pipe()
    stream = BoundedStream(writer)
    stream.write('the last line\n')
    stream.close()
    os.close(writer)
    assert os.read(reader, 100) == b'the last line\n'
    os.close(reader)
