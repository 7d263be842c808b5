"""Results of scenarios: aims, tables and the files they are stored in."""

import datetime
import json
import os
import pathlib

from .environment import is_saturated

__all__ = ["Aim", "Result", "save"]

DIRECTORY = pathlib.Path(__file__).parent / "results"


class Aim:
    """An aim of a scenario, whether it was met, and the measured value as text."""

    __slots__ = ("measured", "met", "text")

    def __init__(self, text, met, measured):
        self.text = text
        self.met = bool(met)
        self.measured = measured

    def to_line(self):
        """Return the aim as one line of text."""
        return (
            f"{'aim met' if self.met else 'aim missed'}: {self.text} ({self.measured})"
        )


class Result:
    """What a scenario measured: a table of text cells, aims, notes and raw data.

    ``saturated`` lists the cores in use in those phases in which the machine had too
    few free cores for the figures to be reliable.
    """

    __slots__ = (
        "aims",
        "columns",
        "data",
        "name",
        "notes",
        "rows",
        "saturated",
        "title",
    )

    def __init__(self, name, title, columns):
        self.name = name
        self.title = title
        self.columns = columns
        self.rows = []
        self.aims = []
        self.notes = []
        self.data = {}
        self.saturated = []

    def add_row(self, *cells):
        """Add one row of the table."""
        self.rows.append([_cell(value) for value in cells])

    def note_machine_cores(self, cores):
        """Note how many cores of the machine were in use during a phase."""
        if is_saturated(cores):
            self.saturated.append(cores)

    def add_aim(self, text, met, measured):
        """Add one aim."""
        self.aims.append(Aim(text, met, measured))

    def to_markdown(self, date):
        """Return the report as Markdown."""
        lines = [f"# {self.title}", "", f"Run on {date}.", ""]
        lines += self.notes
        if self.saturated:
            lines.append(
                f"Doubtful: in {len(self.saturated)} phases up to "
                f"{max(self.saturated)} of {os.cpu_count()} cores were in use, so "
                "processes waited for a core."
            )
        lines += ["", "| " + " | ".join(self.columns) + " |"]
        lines += ["|" + " --- |" * len(self.columns)]
        lines += ["| " + " | ".join(row) + " |" for row in self.rows]
        lines += [""] + [f"* {aim.to_line()}" for aim in self.aims]
        return "\n".join(lines) + "\n"


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}" if abs(value) < 1 else f"{value:.1f}"
    return str(value)


def save(result, options):
    """Write the JSON and Markdown files of a result; returns the Markdown."""
    date = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC")
    DIRECTORY.mkdir(exist_ok=True)
    value = {
        "scenario": result.name,
        "title": result.title,
        "date": date,
        "options": options,
        "cores": os.cpu_count(),
        "saturated_phases": result.saturated,
        "load_average": os.getloadavg(),
        "aims": [
            {"aim": aim.text, "met": aim.met, "measured": aim.measured}
            for aim in result.aims
        ],
        "data": result.data,
    }
    path = DIRECTORY / f"{result.name}.json"
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")
    text = result.to_markdown(date)
    path.with_suffix(".md").write_text(text, encoding="utf-8")
    return text
