"""One key=value line per event through absl.logging."""

from absl import logging

__all__ = ["Log", "format_event"]


def _quote(value):
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def format_event(name, fields):
    """Return ``event=name key=value ...``; values with spaces are quoted.

    >>> format_event("start", {"port": 80, "note": "a b"})
    'event=start port=80 note="a b"'
    """
    parts = [f"event={_quote(name)}"]
    parts.extend(f"{key}={_quote(value)}" for key, value in fields.items())
    return " ".join(parts)


class Log:
    """Writes events with fields that are common to one process or component."""

    __slots__ = ("_common", "_ring")

    def __init__(self, ring=None, **common):
        self._ring = ring
        self._common = common

    def info(self, name, **fields):
        """Log an ordinary event and add it to the ring."""
        self._record(name, fields)
        logging.info("%s", format_event(name, {**fields, **self._common}))

    def warning(self, name, **fields):
        """Log an event that an operator should see and add it to the ring."""
        self._record(name, fields)
        logging.warning("%s", format_event(name, {**fields, **self._common}))

    def error(self, name, **fields):
        """Log a failure of the daemon itself and add it to the ring."""
        self._record(name, fields)
        logging.error("%s", format_event(name, {**fields, **self._common}))

    def debug(self, name, **fields):
        """Log a detail that is useful only while debugging."""
        if logging.vlog_is_on(1):
            logging.vlog(1, "%s", format_event(name, {**fields, **self._common}))

    def _record(self, name, fields):
        if self._ring is not None:
            self._ring.record(name, **fields)
