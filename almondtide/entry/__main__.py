"""Entry point of ``python -m almondtide.entry``."""

import sys

from .process import main

sys.exit(main())
