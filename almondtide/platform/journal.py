"""Decoder of the journal of benchmark runs, which the users' bench writes."""

import pathlib

import orjson

from ..errors import DocumentError
from .fields import Fields

__all__ = ["BenchDay", "BenchRun", "decode_run", "read_journal"]

WORST_WINDOWS = "worst windows"


class BenchDay:
    """Results of one simulated day; shares are between 0.0 and 1.0.

    ``worth`` is the day's result after ``prices``, a dict from the priced resource to
    its cost in units of worth. ``broken`` maps each violated rule to a count.
    ``worst`` is the result of the worst windows of the day, or None.
    """

    __slots__ = (
        "broken",
        "failed",
        "name",
        "prices",
        "refused",
        "score",
        "served",
        "worst",
        "worth",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class BenchRun:
    """One run of the bench: its days, the source revision, and the reason.

    ``at`` is the start time as text.
    """

    __slots__ = ("at", "command", "days", "reason", "revision", "score", "site")

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


def read_journal(directory):
    """Return (runs, problems) of a journal's directory; the oldest run is first.

    ``problems`` has a text for each unreadable file. Raises ``DocumentError`` if the
    directory does not exist.
    """
    folder = pathlib.Path(directory)
    if not folder.is_dir():
        raise DocumentError(f"{directory}: no such directory")
    runs, problems = [], []
    for path in sorted(folder.glob("*.json")):
        try:
            runs.append(decode_run(path.read_bytes()))
        except OSError as exc:
            problems.append(f"{path.name}: {exc.strerror}")
        except DocumentError as exc:
            problems.append(f"{path.name}: {exc.message}")
    runs.sort(key=lambda run: run.at)
    return runs, problems


def decode_run(raw):
    """Return the ``BenchRun`` of one journal file; raises ``DocumentError``."""
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise DocumentError(f"not valid JSON: {exc}") from exc
    fields = Fields(document)
    if not isinstance(document, dict):
        raise DocumentError("; ".join(fields.problems))
    days = document.get("days")
    run = BenchRun(
        at=_decode_start(document.get("at"), fields),
        command=fields.string("cmd"),
        site=document.get("site") or "",
        reason=document.get("why") or "",
        revision=document.get("head") or "",
        score=fields.number("score", None, minimum=-1),
        days=[],
    )
    for day in days if isinstance(days, list) else []:
        run.days.append(_decode_day(Fields(day, "days", fields.problems), day))
    if fields.problems:
        raise DocumentError("; ".join(fields.problems))
    return run


def _decode_start(times, fields):
    """Return the start time of a run from [start, end].

    The end is null if the run was interrupted.
    """
    if isinstance(times, list) and times and isinstance(times[0], str):
        return times[0]
    fields.problems.append("at: not a list of start and end")
    return ""


def _decode_day(fields, day):
    document = day if isinstance(day, dict) else {}
    parts = _get_triples(document.get("parts"), fields, "parts")
    prices = _get_triples(document.get("prices"), fields, "prices")
    rules = document.get("rules")
    return BenchDay(
        name=fields.string("name"),
        # "G" is the day's worth after prices.
        worth=fields.number("G", None, minimum=-100),
        score=fields.number("score", None, minimum=-1),
        served=fields.number("served", None),
        refused=fields.number("refused", None),
        failed=fields.number("failed", None),
        worst=next((part[2] for part in parts if part[0] == WORST_WINDOWS), None),
        prices={name: cost for name, _, cost in prices},
        broken=rules if isinstance(rules, dict) else {},
    )


def _get_triples(value, fields, name):
    if not isinstance(value, list):
        return []
    triples = [item for item in value if isinstance(item, list) and len(item) == 3]
    if len(triples) < len(value):
        fields.problems.append(f"days.{name}: not a list of triples")
    return triples
