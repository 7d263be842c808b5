"""Runs an entry: ``python -m almondtide.entry``."""

import sys

from .process import main

sys.exit(main())
