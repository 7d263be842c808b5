"""The command line ``almondtide`` for callers and operators."""

import sys
from typing import Literal

import curio
import defopt
import orjson

from . import (
    __version__,
    cli_configuration,
    cli_explain,
    cli_placement,
    cli_report,
)
from .addresses import format_address
from .cli_arguments import (
    ADMIN_VARIABLE,
    ENTRIES_VARIABLE,
    Output,
    UsageError,
    check_id,
    get_addresses,
    get_body,
    get_token,
    join_repeated,
)
from .client import AdminClient, CallerClient, read_fleet_reports
from .errors import AlmondtideError, ClientError, ResultCode, exit_status
from .presentation import format_table, print_error, print_json, print_text
from .timeline import Timeline, format_timeline_event

__all__ = ["main"]

USAGE_STATUS = 2
INTERRUPTED_STATUS = 130
FOLLOW_INTERVAL_S = 0.5


# Callers


def query(
    workload: str,
    *,
    body: str | None = None,
    deadline_ms: float | None = None,
    request_id: str | None = None,
    entry: str | None = None,
    output: Output = "text",
):
    """Send a query and print its answer.

    A query is idempotent. Within the deadline, it is sent again through another
    entry when an entry is lost or refuses it temporarily.

    :param workload: name of the workload
    :param body: JSON text, @file, or - for standard input (the default)
    :param deadline_ms: time for the answer; default: the workload's setting
    :param request_id: id for the timeline; default: a random one
    :param entry: host:port of an entry, repeatable; default: ALMONDTIDE_CLI_ENTRIES
    :param output: text or json
    """
    seeds = get_addresses(entry, ENTRIES_VARIABLE, "--entry")
    check_id(request_id, "--request-id")
    data = get_body(body)
    return curio.run(_query, seeds, workload, data, deadline_ms, request_id, output)


async def _query(seeds, workload, data, deadline_ms, request_id, output):
    client = CallerClient(seeds)
    try:
        answer = await client.query(workload, data, deadline_ms, request_id)
    finally:
        await client.close()
    return _print_answer(answer, output)


def revise(
    workload: str,
    *,
    body: str | None = None,
    deadline_ms: float | None = None,
    execution_id: str | None = None,
    request_id: str | None = None,
    entry: str | None = None,
    output: Output = "text",
):
    """Send a non-idempotent request, which runs at most once.

    Prints the execution id before the request is sent. After a lost connection, the
    request is sent again with the same id through another entry. If the outcome is
    unknown, run the command again with the printed id and the same body.

    :param workload: name of the workload
    :param body: JSON text, @file, or - for standard input (the default)
    :param deadline_ms: time for the answer; default: the workload's setting
    :param execution_id: id of an earlier call; default: a new one
    :param request_id: id for the timeline; default: a random one
    :param entry: host:port of an entry, repeatable; default: ALMONDTIDE_CLI_ENTRIES
    :param output: text or json
    """
    seeds = get_addresses(entry, ENTRIES_VARIABLE, "--entry")
    check_id(request_id, "--request-id")
    check_id(execution_id, "--execution-id")
    data = get_body(body)
    return curio.run(
        _revise, seeds, workload, data, deadline_ms, execution_id, request_id, output
    )


async def _revise(seeds, workload, data, deadline_ms, execution_id, request_id, output):
    client = CallerClient(seeds)
    try:
        if execution_id is None:
            execution_id = await client.new_execution_id()
        # Printed before the request, so that the id is known after an interrupt. For
        # JSON it goes to standard error, so that standard output is one document.
        stream = sys.stderr if output == "json" else sys.stdout
        print(f"execution_id={execution_id}", file=stream, flush=True)
        answer = await client.revise(
            workload, execution_id, data, deadline_ms, request_id
        )
    finally:
        await client.close()
    return _print_answer(answer, output)


def _print_answer(answer, output):
    body = answer.body if isinstance(answer.body, dict) else {"result": answer.body}
    code = answer.code
    if answer.is_uncertain and answer.is_stated_not_run:
        # The last attempt was not run, but an earlier one may have run.
        code = ResultCode.CONNECTION_LOST
        body = {**body, "code": int(code), "name": code.name, "not_run": False}
    if output == "json":
        entry = format_address(answer.address)
        print_json({**body, "entry": entry, "tries": answer.tries})
    else:
        print_text("\n".join(_answer_lines(answer, code, body)))
    return exit_status(code)


def _answer_lines(answer, code, body):
    request_id = body.get("request_id")
    entry = format_address(answer.address)
    yield (
        f"{code.name} ({int(code)}) request_id={request_id} entry={entry} "
        f"tries={answer.tries}"
    )
    if body.get("message"):
        yield f"message: {body['message']}"
    if code not in (ResultCode.OK, ResultCode.PARTIAL):
        retry = body.get("retry_after_ms")
        yield f"not_run: {'yes' if body.get('not_run') else 'no'}"
        if retry is not None:
            yield f"retry_after_ms: {retry}"
    coverage = body.get("coverage")
    if coverage is not None:
        yield from _coverage_lines(body, coverage)
    if body.get("result") is not None:
        yield f"result: {orjson.dumps(body['result']).decode()}"


def _coverage_lines(body, coverage):
    snapshot = body.get("snapshot", {})
    covered = len(coverage["covered"])
    missing = coverage["missing"]
    yield (
        f"snapshot: version {snapshot.get('version')} epoch {snapshot.get('epoch')}; "
        f"coverage: {covered} of {covered + len(missing)} shards"
    )
    for item in missing:
        yield f"missing: {item['shard']} {item.get('name', item['code'])}"


def entries(*, entry: str | None = None, output: Output = "text"):
    """Show the addresses that callers can use now.

    :param entry: host:port of an entry, repeatable; default: ALMONDTIDE_CLI_ENTRIES
    :param output: text or json
    """
    seeds = get_addresses(entry, ENTRIES_VARIABLE, "--entry")
    return curio.run(_entries, seeds, output)


async def _entries(seeds, output):
    client = CallerClient(seeds)
    try:
        body = await client.entries()
    finally:
        await client.close()
    if output == "json":
        print_json(body)
        return 0
    rows = [(e["instance"], e["address"], e.get("domain")) for e in body["entries"]]
    print_text(format_table(("instance", "address", "domain"), rows))
    print_text(f"max_age_ms: {body['max_age_ms']}")
    print_text(f"execution_prefix: {body['execution_prefix']}")
    return 0


# Operators


def status(
    *,
    admin: str | None = None,
    token: str | None = None,
    listed_only: bool = False,
    output: Output = "text",
):
    """Show one line for each daemon of the fleet.

    Asks the daemons of --admin and all members that they know.

    :param admin: admin host:port, repeatable; default: ALMONDTIDE_CLI_ADMIN
    :param token: bearer token; default: ALMONDTIDE_CLI_TOKEN
    :param listed_only: ask only the addresses of --admin
    :param output: text or json
    """
    addresses = get_addresses(admin, ADMIN_VARIABLE, "--admin")
    return curio.run(_status, addresses, get_token(token), listed_only, output)


async def _status(addresses, token, listed_only, output):
    reports = await read_fleet_reports(addresses, token, listed_only, "status")
    complete = not any(isinstance(r, ClientError) for r in reports.values())
    if output == "json":
        print_json({format_address(a): _to_json_value(r) for a, r in reports.items()})
    else:
        _print_status(reports)
    return exit_status(ResultCode.OK if complete else ResultCode.PARTIAL)


def _to_json_value(report):
    if isinstance(report, ClientError):
        return {"code": int(report.code), "message": report.message}
    return report


STATUS_COLUMNS = (
    "instance",
    "domain",
    "admin",
    "state",
    "running",
    "revision",
    "peer_links",
    "executions",
)


def _print_status(reports):
    rows = []
    for address, report in reports.items():
        name = format_address(address)
        if isinstance(report, ClientError):
            empty = [None] * (len(STATUS_COLUMNS) - 4)
            rows.append((None, None, name, "no answer", *empty))
            continue
        rows.append(
            (
                report["instance"],
                report["domain"],
                name,
                "leaving" if report["leaving"] else "serving",
                report["running"],
                report["configuration_revision"],
                report["peer_links"],
                report["executions"],
            )
        )
    rows.sort(key=lambda row: (row[0] is None, row[0] or row[2]))
    print_text(format_table(STATUS_COLUMNS, rows))


def timeline(
    *,
    request_id: str | None = None,
    event: str | None = None,
    kind: Literal["all", "daemon", "requests"] = "all",
    follow: bool = False,
    admin: str | None = None,
    token: str | None = None,
    listed_only: bool = False,
    output: Output = "text",
):
    """Show the events of all daemons, ordered by the hybrid logical clock.

    The events of a daemon are lost when its process ends. With --follow, events are
    ordered within each poll (every 0.5 s), and daemons that join later are not
    included.

    :param request_id: only events of this request, query or execution id
    :param event: only events with this name
    :param kind: events of the daemons, of single requests, or all
    :param follow: show new events until interrupted
    :param admin: admin host:port, repeatable; default: ALMONDTIDE_CLI_ADMIN
    :param token: bearer token; default: ALMONDTIDE_CLI_TOKEN
    :param listed_only: ask only the addresses of --admin
    :param output: text, or json for one JSON object per line
    """
    addresses = get_addresses(admin, ADMIN_VARIABLE, "--admin")
    token = get_token(token)
    return curio.run(
        _timeline,
        addresses,
        token,
        listed_only,
        request_id,
        event,
        kind,
        follow,
        output,
    )


async def _timeline(
    addresses, token, listed_only, request_id, event, kind, follow, output
):
    client = AdminClient(token)
    try:
        if not listed_only:
            addresses = await client.discover(addresses)
        merged_timeline = Timeline(client, addresses, request_id, event, kind)
        is_first_poll = True
        while True:
            for item in await merged_timeline.poll():
                _print_event(item, output)
            if is_first_poll or not follow:
                _print_missing(merged_timeline)
            is_first_poll = False
            if not follow:
                break
            await curio.sleep(FOLLOW_INTERVAL_S)
    finally:
        await client.close()
    return exit_status(
        ResultCode.PARTIAL if merged_timeline.failures else ResultCode.OK
    )


def _print_event(item, output):
    if output == "json":
        print_json(item)
    else:
        print_text(format_timeline_event(item))


def _print_missing(merged_timeline):
    for exc in merged_timeline.failures.values():
        print_error(exc.message)
    for instance, count in merged_timeline.dropped.items():
        if count:
            print_error(f"{instance} has dropped {count} older events")


def drain(
    *, admin: str | None = None, token: str | None = None, output: Output = "text"
):
    """Ask one daemon to shut down gracefully.

    The daemon finishes its running requests and exits. Until then, the status
    command shows it as leaving.

    :param admin: admin host:port of the daemon; default: ALMONDTIDE_CLI_ADMIN
    :param token: bearer token; default: ALMONDTIDE_CLI_TOKEN
    :param output: text or json
    """
    addresses = get_addresses(admin, ADMIN_VARIABLE, "--admin")
    if len(addresses) != 1:
        raise UsageError("drain takes exactly one admin address")
    return curio.run(_drain, addresses[0], get_token(token), output)


async def _drain(address, token, output):
    client = AdminClient(token)
    try:
        report = await client.call(address, "drain", method="POST")
    finally:
        await client.close()
    if output == "json":
        print_json(report)
    else:
        print_text(f"{report['instance']} is leaving")
    return 0


def version(*, output: Output = "text"):
    """Show the version of this program.

    :param output: text or json
    """
    if output == "json":
        print_json({"version": __version__})
    else:
        print_text(f"almondtide {__version__}")
    return 0


COMMANDS = {
    "query": query,
    "revise": revise,
    "entries": entries,
    "status": status,
    "config": {
        "check": cli_configuration.check,
        "show": cli_configuration.show,
        "status": cli_configuration.status,
    },
    "drain": drain,
    "timeline": timeline,
    "explain": cli_explain.explain,
    "placement": cli_placement.placement,
    "fleet": cli_report.fleet,
    "report": cli_report.report,
    "version": version,
}


def run(argv):
    """Run one command and return its exit status."""
    try:
        return defopt.run(
            COMMANDS,
            argv=join_repeated(argv),
            short={},
            no_negated_flags=True,
            show_defaults=False,
            version=__version__,
            argparse_kwargs={"prog": "almondtide"},
        )
    except UsageError as exc:
        print_error(exc)
        return USAGE_STATUS
    except AlmondtideError as exc:
        print_error(f"{exc.message} ({exc.code.name} {int(exc.code)})")
        return exit_status(exc.code)
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader of standard output has closed the pipe.
        sys.stdout = None
        return 0


def main(argv=None):
    """Run ``almondtide`` and exit the process."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


if __name__ == "__main__":
    main()
