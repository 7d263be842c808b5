"""Replaces parts of the product, for daemons with a defect that tests must detect."""

__all__ = ["replace_attribute"]


def replace_attribute(owner, name, value):
    """Replace an attribute of a class or module; returns the original.

    Raises ``AttributeError`` if there is none, since the defect would have no effect.
    """
    original = getattr(owner, name)
    setattr(owner, name, value)
    return original
