"""Log of events, one key=value line each, through absl.logging."""

import logging as stdlib_logging
import re
import time

from absl import flags, logging

__all__ = ["Log", "format_event", "set_up_logging"]

# Limit for lines with the same event name. Further lines are counted and not written,
# so that callers cannot make a daemon spend its time on logging.
MAX_LINES_PER_SECOND = 100

_UNQUOTED_VALUE = re.compile(r"[!#-<>-\[\]-~]+")
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}


def _escape(char):
    if char in _ESCAPES:
        return _ESCAPES[char]
    if char.isprintable():
        return char
    # Some programs treat separators such as U+0085 and U+2028 as the end of a line.
    return char.encode("unicode_escape").decode("ascii")


def _quote(value):
    if isinstance(value, list | tuple):
        value = ",".join(map(str, value))
    text = value if isinstance(value, str) else str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return '"' + "".join(map(_escape, text)) + '"'


def format_event(name, fields):
    """Return ``event=name key=value ...`` as one line.

    A value is quoted unless it consists only of printable ASCII characters other
    than space, quote, backslash and equals sign. In quoted values, quotes,
    backslashes and unprintable characters are written as backslash escapes.

    >>> format_event("start", {"port": 80, "note": "a b"})
    'event=start port=80 note="a b"'
    """
    parts = [f"event={_quote(name)}"]
    parts.extend(f"{_quote(key)}={_quote(value)}" for key, value in fields.items())
    return " ".join(parts)


class _LineFormatter(logging.PythonFormatter):
    """Formats messages of libraries as one key=value line, with their traceback."""

    def __init__(self, common_fields):
        super().__init__()
        self._common_fields = common_fields

    def format(self, record):
        """Return the log line of a record."""
        prefix = logging.get_absl_log_prefix(record)
        if record.name == logging.get_absl_logger().name:
            return prefix + record.getMessage()
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return prefix + format_event(
            "library_message", {**fields, **self._common_fields}
        )


def set_up_logging(verbosity, stream=None, **common_fields):
    """Send log lines to standard error or ``stream``.

    ``verbosity`` is a level of absl: -1 for warnings, 0 for information, 1 for debug
    messages. ``common_fields`` are added to the messages of libraries.
    """
    if not flags.FLAGS.is_parsed():
        # Without this, absl prints a warning that its flags were not parsed.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_LineFormatter(common_fields))
    if stream is not None:
        handler.python_handler.setStream(stream)
    logging.set_verbosity(verbosity)
    # websockets logs each connection, and each frame at the debug level.
    stdlib_logging.getLogger("websockets").setLevel(stdlib_logging.WARNING)
    # curio.time warns of each operation that ended just after its timeout.
    stdlib_logging.getLogger("curio.time").setLevel(stdlib_logging.ERROR)


class _LineRateLimit:
    """Limits the lines per event name in windows of one second."""

    __slots__ = ("_counts", "_second")

    def __init__(self):
        self._second = 0
        self._counts = {}

    def admit(self, name):
        """Count a line and return (is_admitted, suppressed).

        ``suppressed`` maps event names to the number of lines that were not written
        in the last window. It is only filled for the first line of a window.
        """
        second = int(time.monotonic())
        suppressed = {}
        if second != self._second:
            suppressed = {
                key: count - MAX_LINES_PER_SECOND
                for key, count in self._counts.items()
                if count > MAX_LINES_PER_SECOND
            }
            self._second = second
            self._counts = {}
        count = self._counts.get(name, 0) + 1
        self._counts[name] = count
        return count <= MAX_LINES_PER_SECOND, suppressed


class Log:
    """Writes events to the log and to a ring buffer.

    ``common_fields`` are added to each line. ``trace`` events describe single
    requests. They are written only to the ring buffer, because a log line for each
    query would cost too much.
    """

    __slots__ = ("_common_fields", "_rate_limit", "_ring")

    def __init__(self, ring=None, **common_fields):
        self._ring = ring
        self._common_fields = common_fields
        self._rate_limit = _LineRateLimit()

    def trace(self, name, **fields):
        """Add an event of a single request to the ring buffer."""
        if self._ring is not None:
            self._ring.record_request(name, fields)

    @logging.skip_log_prefix
    def info(self, name, **fields):
        """Log an ordinary event and add it to the ring buffer."""
        self._write(logging.INFO, name, fields)

    @logging.skip_log_prefix
    def warning(self, name, **fields):
        """Log an event that needs attention and add it to the ring buffer."""
        self._write(logging.WARNING, name, fields)

    @logging.skip_log_prefix
    def refusal(self, name, **fields):
        """Log bad input of a caller and add it to the ring buffer of requests.

        Many of them would otherwise push the events of the daemon out of its ring.
        """
        self.trace(name, **fields)
        self._write_line(logging.WARNING, name, fields)

    @logging.skip_log_prefix
    def error(self, name, **fields):
        """Log a failure of the daemon itself and add it to the ring buffer."""
        self._write(logging.ERROR, name, fields)

    def debug(self, name, **fields):
        """Log a detail at the debug level; not added to the ring buffer."""
        if logging.vlog_is_on(1):
            logging.vlog(1, "%s", format_event(name, {**fields, **self._common_fields}))

    @logging.skip_log_prefix
    def _write(self, level, name, fields):
        if self._ring is not None:
            self._ring.record(name, **fields)
        self._write_line(level, name, fields)

    @logging.skip_log_prefix
    def _write_line(self, level, name, fields):
        admitted, suppressed = self._rate_limit.admit(name)
        for other, count in suppressed.items():
            line = {"suppressed": other, "count": count, **self._common_fields}
            logging.warning("%s", format_event("lines_suppressed", line))
        if admitted:
            logging.log(
                level, "%s", format_event(name, {**fields, **self._common_fields})
            )
