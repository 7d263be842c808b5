"""A crash that resets a new connection never counts against the request."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import crash_case  # noqa: E402
import kit  # noqa: E402

# The server ends before it has read all of it, which resets the connection.
BODY = b"q" * 20000


async def traffic(fleet):
    """Send the request again and again with a body."""
    await crash_case.repeat(fleet, BODY)


kit.main(__file__, lambda folder: crash_case.play(folder, traffic))
