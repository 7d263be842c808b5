"""Commands ``fleet`` and ``report``: state of entries and results of benchmark days."""

import datetime
import importlib
import re

import curio

from .adapters.http import HTTPClient
from .addresses import format_address
from .cli_arguments import Output, UsageError, get_addresses
from .client import gather
from .errors import ClientError, UpstreamError
from .platform.journal import read_journal
from .presentation import format_table, print_error, print_json, print_text

__all__ = ["fleet", "report"]

METRICS_VARIABLE = "ALMONDTIDE_CLI_METRICS"
METRICS_PATH = "/metrics"
METRICS_TIMEOUT_S = 3.0
PREFIX = "almondtide_entry_"
MIN_SERVER_ERROR_STATUS = 500
# Number of prices of a day in the table, highest first.
MAX_SHOWN_PRICES = 2
# Width of a plot and height of a site's panel, in inches.
PLOT_WIDTH, PANEL_HEIGHT = 9.0, 2.6
# Most days of a site with a line of their own in a plot.
MAX_NAMED_DAYS = 8
# Lower plays are cut off, since one of them would flatten all others.
LEAST_SHOWN_WORTH = -0.2

_SAMPLE_PATTERN = re.compile(r"(\w+)(?:\{(.*)\})? (\S+)")
_LABEL_PATTERN = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')

# carries: whether callers are sent to this entry.
# version: version of the configuration in force.
# age_s: seconds since the entry's copy of the store was known to be current.
# members: number of daemons that the entry has heard of lately.
# store_calls: number of calls to the store; high on the entry that reads it.
# answers: number of all responses to callers. refused: those with status 503. failed:
# those with another status of 500 or more.
FLEET_COLUMNS = (
    "entry",
    "carries",
    "version",
    "age_s",
    "members",
    "store_calls",
    "answers",
    "refused",
    "failed",
)
# at: start time of the run. run: its command.
# worth: result of the day after its prices. score: score that the bench recorded.
# served, refused, failed: shares of the requests.
# worst: result of the worst windows of the day.
# broken: violated rules, each with the number of violations.
# dearest: the resources with the highest prices, each with its cost in units of worth.
REPORT_COLUMNS = (
    "at",
    "run",
    "site",
    "day",
    "worth",
    "score",
    "served",
    "refused",
    "failed",
    "worst",
    "broken",
    "dearest",
)


def fleet(*, metrics: str | None = None, output: Output = "text"):
    """Show for each entry whether callers are sent to it and what it has answered.

    The entry with the most store calls is the one that reads the store. The reason
    is shown for an entry that does not answer.

    :param metrics: host:port of the entries' metrics, comma-separated; default:
        ALMONDTIDE_CLI_METRICS
    :param output: text or json
    """
    addresses = get_addresses(metrics, METRICS_VARIABLE, "--metrics")
    reports = curio.run(gather, addresses, _read_metrics)
    rows = []
    for address, text in reports.items():
        name = format_address(address)
        if isinstance(text, Exception):
            rows.append({"entry": name, "error": text.message})
        else:
            rows.append({"entry": name, **summarize_metrics(text)})
    if output == "json":
        print_json(rows)
    else:
        print_text(_fleet_table(rows))
    return 1 if any("error" in row for row in rows) else 0


def _fleet_table(rows):
    lines = [
        [row.get(column) for column in FLEET_COLUMNS]
        for row in rows
        if "error" not in row
    ]
    text = format_table(FLEET_COLUMNS, lines)
    error_lines = [f"{row['entry']}: {row['error']}" for row in rows if "error" in row]
    return "\n".join([text, *error_lines])


async def _read_metrics(address):
    try:
        async with curio.timeout_after(METRICS_TIMEOUT_S):
            client = await HTTPClient.open(address, METRICS_TIMEOUT_S)
            try:
                response = await client.request("GET", METRICS_PATH)
            finally:
                await client.close()
    except (OSError, UpstreamError, curio.TaskTimeout) as exc:
        raise ClientError(f"no metrics: {exc or 'timeout'}") from exc
    if response.status != 200:
        raise ClientError(f"no metrics: status {response.status}")
    return response.body.decode("utf-8", "replace")


def parse_metrics(text):
    """Yield (name without prefix, labels, value) for each metric of an entry."""
    for line in text.splitlines():
        found = _SAMPLE_PATTERN.fullmatch(line)
        if found is None or not found[1].startswith(PREFIX):
            continue
        try:
            value = float(found[3])
        except ValueError:
            continue
        yield (
            found[1][len(PREFIX) :],
            dict(_LABEL_PATTERN.findall(found[2] or "")),
            value,
        )


def summarize_metrics(text):
    """Return a dict with all columns of ``FLEET_COLUMNS`` except ``entry``."""
    gauges = {}
    answers = refused = failed = 0
    for name, labels, value in parse_metrics(text):
        if name != "answers":
            if not labels:
                gauges[name] = value
            continue
        answers += int(value)
        status = int(labels.get("status", 0))
        refused += int(value) if status == 503 else 0
        failed += (
            int(value) if status >= MIN_SERVER_ERROR_STATUS and status != 503 else 0
        )
    return {
        "carries": bool(gauges.get("carries")),
        "version": int(gauges.get("configuration_version", 0)),
        "age_s": round(gauges.get("knowledge_age_seconds", 0.0), 2),
        "members": int(gauges.get("members", 0)),
        "store_calls": int(gauges.get("store_calls", 0)),
        "answers": answers,
        "refused": refused,
        "failed": failed,
    }


def report(
    journal: str,
    *,
    site: str | None = None,
    day: str | None = None,
    last: int = 0,
    plot: str | None = None,
    output: Output = "text",
):
    """Show the results of benchmark days from a journal.

    :param journal: directory of the journal
    :param site: only days of this site
    :param day: only days whose name starts with this text
    :param last: only this number of newest runs; 0 for all
    :param plot: write a plot of worth over time, a panel a site (png, svg, pdf)
    :param output: text or json
    """
    if last < 0:
        raise UsageError("--last must be at least 0")
    runs, problems = read_journal(journal)
    runs = [run for run in runs if run.days and site in (None, run.site)]
    rows = [
        _report_row(run, played)
        for run in runs[-last:]
        for played in run.days
        if day is None or played.name.startswith(day)
    ]
    if output == "json":
        print_json({"days": rows, "problems": problems})
    else:
        lines = [[row[column] for column in REPORT_COLUMNS] for row in rows]
        print_text(format_table(REPORT_COLUMNS, lines))
        for problem in problems:
            print_error(problem)
    if plot is not None:
        _plot(rows, plot)
    return 1 if problems else 0


def _report_row(run, day):
    prices = sorted(day.prices.items(), key=lambda item: -item[1])
    return {
        "at": run.at,
        "run": run.command,
        "site": run.site,
        "day": day.name,
        "worth": day.worth,
        "score": day.score,
        "served": day.served,
        "refused": day.refused,
        "failed": day.failed,
        "worst": day.worst,
        "broken": ",".join(f"{rule}:{n}" for rule, n in sorted(day.broken.items())),
        "dearest": ", ".join(
            f"{name} {cost}" for name, cost in prices[:MAX_SHOWN_PRICES]
        ),
    }


def _plot(rows, path):
    """Plot the worth of the days over time, with one panel for each site.

    The days that were played most have lines of their own, whose legend states the
    spread over all plays; the others are grey points.
    """
    try:
        # An optional dependency, needed only for --plot.
        matplotlib = importlib.import_module("matplotlib")
        matplotlib.use("Agg")
        pyplot = importlib.import_module("matplotlib.pyplot")
    except ImportError as exc:
        raise UsageError(f"--plot needs the extra 'plots': {exc}") from exc
    panels = _group_rows(rows) or {"no days": {}}
    figure, axes = pyplot.subplots(
        len(panels),
        1,
        sharex=True,
        squeeze=False,
        figsize=(PLOT_WIDTH, PANEL_HEIGHT * len(panels)),
    )
    for panel, (site, days) in zip(axes[:, 0], panels.items(), strict=True):
        _plot_site(panel, site, days)
    figure.autofmt_xdate()
    try:
        figure.savefig(path, bbox_inches="tight")
    except (OSError, ValueError) as exc:
        raise UsageError(f"--plot: {exc}") from exc
    finally:
        pyplot.close(figure)


def _group_rows(rows):
    """Return by site and day the (time, worth) of all plays, oldest first."""
    panels = {}
    for row in sorted(rows, key=lambda row: row["at"]):
        if row["worth"] is None:
            continue
        at = datetime.datetime.fromisoformat(row["at"].replace("Z", "+00:00"))
        days = panels.setdefault(row["site"], {})
        days.setdefault(row["day"], []).append((at, row["worth"]))
    return dict(sorted(panels.items()))


def _plot_site(panel, site, days):
    by_plays = sorted(days, key=lambda name: (-len(days[name]), name))
    named = sorted(name for name in by_plays[:MAX_NAMED_DAYS] if len(days[name]) > 1)
    for name, points in days.items():
        if name not in named:
            panel.plot(*zip(*points, strict=True), ".", color="0.7", markersize=3)
    for name in named:
        times, worths = zip(*days[name], strict=True)
        spread = f"{min(worths):.2f} to {max(worths):.2f}, {len(worths)} plays"
        panel.plot(times, worths, marker="o", markersize=3, label=f"{name}: {spread}")
    lowest = min((worth for points in days.values() for _, worth in points), default=0)
    if lowest < LEAST_SHOWN_WORTH:
        panel.set_ylim(bottom=LEAST_SHOWN_WORTH)
    panel.set_title(site, fontsize="small", loc="left")
    panel.set_ylabel("worth")
    panel.grid(visible=True, alpha=0.3)
    if named:
        panel.legend(fontsize="x-small", loc="upper left", bbox_to_anchor=(1.01, 1.0))
