"""One key=value line per event through absl.logging."""

import logging as stdlib_logging
import re
import time

from absl import flags, logging

__all__ = ["Log", "format_event", "set_up_logging"]

# Lines of one event name within one second; more are counted and left out, so
# that callers cannot keep a daemon busy with logging.
MAX_LINES_PER_SECOND = 100

_UNQUOTED_VALUE = re.compile(r"[!#-<>-\[\]-~]+")
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}


def _escape(char):
    if char in _ESCAPES:
        return _ESCAPES[char]
    if char.isprintable():
        return char
    # Line separators such as U+0085 and U+2028 end a line for some readers.
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

    A value is quoted unless it consists of printable ASCII without spaces,
    quotes, backslashes and equals signs. Within quotes, backslash escapes stand
    for quotes, backslashes and everything that is not printable.

    >>> format_event("start", {"port": 80, "note": "a b"})
    'event=start port=80 note="a b"'
    """
    parts = [f"event={_quote(name)}"]
    parts.extend(f"{_quote(key)}={_quote(value)}" for key, value in fields.items())
    return " ".join(parts)


class _LineFormatter(logging.PythonFormatter):
    """Writes messages of libraries as key=value lines too.

    Without it, a library's message or traceback takes several lines.
    """

    def __init__(self, common_fields):
        super().__init__()
        self._common_fields = common_fields

    def format(self, record):
        """Return the line of a record."""
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
    """Send log lines to standard error or ``stream``; 1 logs details too.

    ``common_fields`` are fields for the messages of libraries.
    """
    if not flags.FLAGS.is_parsed():
        # absl prints a warning with each process that does not parse its flags.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_LineFormatter(common_fields))
    if stream is not None:
        handler.python_handler.setStream(stream)
    logging.set_verbosity(verbosity)
    # It reports each connection, and with its frames at the level of details.
    stdlib_logging.getLogger("websockets").setLevel(stdlib_logging.WARNING)
    # It warns of each operation that ended just after its timeout.
    stdlib_logging.getLogger("curio.time").setLevel(stdlib_logging.ERROR)


class _LineRateLimit:
    """Counts lines by event name in windows of one second."""

    __slots__ = ("_counts", "_second")

    def __init__(self):
        self._second = 0
        self._counts = {}

    def admit(self, name):
        """Return (whether to write the line, lines left out in the last window)."""
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
    """Writes events with fields that are common to one process or component.

    ``trace`` events explain single requests. They go only to the ring buffer,
    because a line for each query would cost more than it is worth.
    """

    __slots__ = ("_common_fields", "_limit", "_ring")

    def __init__(self, ring=None, **common_fields):
        self._ring = ring
        self._common_fields = common_fields
        self._limit = _LineRateLimit()

    def trace(self, name, **fields):
        """Add an event of a single request to the ring buffer."""
        if self._ring is not None:
            self._ring.record_request(name, fields)

    @logging.skip_log_prefix
    def info(self, name, **fields):
        """Log an ordinary event and add it to the ring."""
        self._write(logging.INFO, name, fields)

    @logging.skip_log_prefix
    def warning(self, name, **fields):
        """Log an event that an operator should see and add it to the ring."""
        self._write(logging.WARNING, name, fields)

    @logging.skip_log_prefix
    def refusal(self, name, **fields):
        """Log bad input of a caller and add it to the events of requests.

        It must not push the rare events of the daemon out of their ring.
        """
        self.trace(name, **fields)
        self._write_line(logging.WARNING, name, fields)

    @logging.skip_log_prefix
    def error(self, name, **fields):
        """Log a failure of the daemon itself and add it to the ring."""
        self._write(logging.ERROR, name, fields)

    def debug(self, name, **fields):
        """Log a detail that is useful only while debugging."""
        if logging.vlog_is_on(1):
            logging.vlog(1, "%s", format_event(name, {**fields, **self._common_fields}))

    @logging.skip_log_prefix
    def _write(self, level, name, fields):
        if self._ring is not None:
            self._ring.record(name, **fields)
        self._write_line(level, name, fields)

    @logging.skip_log_prefix
    def _write_line(self, level, name, fields):
        admitted, suppressed = self._limit.admit(name)
        for other, count in suppressed.items():
            line = {"suppressed": other, "count": count, **self._common_fields}
            logging.warning("%s", format_event("lines_suppressed", line))
        if admitted:
            logging.log(
                level, "%s", format_event(name, {**fields, **self._common_fields})
            )
