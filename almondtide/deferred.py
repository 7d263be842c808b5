"""Modules that libraries import and this process mostly doesn't use."""

import importlib
import sys
import types

__all__ = ["block_import", "defer_import"]


def defer_import(name):
    """Let ``import name`` succeed at once; the module is loaded on its first use.

    Uses the module attribute ``__getattr__`` of PEP 562, unlike
    ``importlib.util.LazyLoader``, which loads a module when it is imported again. Does
    nothing if the module is loaded already.
    """
    if name in sys.modules:
        return
    stub = types.ModuleType(name)

    def load(attribute):
        if sys.modules.get(name) is stub:
            del sys.modules[name]
        module = importlib.import_module(name)
        stub.__dict__.update(vars(module))
        return getattr(module, attribute)

    stub.__getattr__ = load
    sys.modules[name] = stub


def block_import(name):
    """Let ``import name`` raise ``ImportError`` unless the module is loaded."""
    sys.modules.setdefault(name, None)
