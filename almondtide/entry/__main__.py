"""Entry point of ``python -m almondtide.entry``."""

import gc
import sys

from ..deferred import block_import, defer_import

# Modules that curio and absl import and only some of their functions use. An entry
# serves no TLS, and curio does without its module.
DEFERRED_MODULES = ("asyncio", "csv", "getpass", "shutil", "tempfile", "timeit")
block_import("ssl")
for name in DEFERRED_MODULES:
    defer_import(name)
gc.disable()

from .process import main  # noqa: E402

gc.freeze()
gc.enable()
sys.exit(main())
