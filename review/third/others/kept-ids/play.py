"""Crashes of servers that start again under their ids stop to count."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import crash_case  # noqa: E402
import kit  # noqa: E402

kit.main(
    __file__, lambda folder: crash_case.play(folder, crash_case.repeat, keeps_id=True)
)
