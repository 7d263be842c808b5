"""The ``almondtide config`` commands: check, show and status."""

import json
import time

import curio

from .addresses import format_address
from .cli_arguments import (
    ADMIN_VARIABLE,
    Output,
    UsageError,
    get_addresses,
    get_token,
)
from .client import AdminClient, read_fleet_reports
from .configuration import (
    FLEET,
    SERVICE,
    SETTINGS,
    WORKLOAD,
    check_document_size,
    parse_configuration,
)
from .errors import ClientError, ConfigurationError, ResultCode, exit_status
from .presentation import format_table, print_json, print_text

__all__ = ["check", "show", "status"]

WAIT_POLL_INTERVAL_S = 0.2


# check


def check(file: str, *, output: Output = "text"):
    """Check a configuration document with the validator of the daemon.

    Prints each problem with the path of the invalid value. Also reports repeated
    keys, and a document over the size limit of the configuration service.

    :param file: JSON file with the document, or - for standard input
    :param output: text or json
    """
    data = _read_file(file)
    problems = _find_problems(data)
    code = ResultCode.CONFIGURATION_INVALID if problems else ResultCode.OK
    if output == "json":
        print_json({"code": int(code), "name": code.name, "problems": problems})
    elif problems:
        print_text("\n".join(problems))
    else:
        print_text(f"{file}: valid, {len(data)} bytes")
    return exit_status(code)


def _read_file(file):
    try:
        with open(0 if file == "-" else file, "rb", closefd=file != "-") as stream:
            return stream.read()
    except OSError as exc:
        raise UsageError(str(exc)) from exc


def _find_problems(data):
    """Return all problems of the document in ``data``."""
    repeated = []

    def record_repeated_keys(pairs):
        seen = set()
        for key, _ in pairs:
            if key in seen:
                repeated.append(f"$: the key {key!r} appears twice in one object")
            seen.add(key)
        return dict(pairs)

    def refuse_constant(name):
        raise ValueError(f"{name} is not JSON")

    try:
        text = data.decode("utf-8")
        body = json.loads(
            text, object_pairs_hook=record_repeated_keys, parse_constant=refuse_constant
        )
    except (ValueError, RecursionError) as exc:
        return [f"$: not valid JSON: {exc}"]
    problems = list(repeated)
    try:
        check_document_size(body)
    except ConfigurationError as exc:
        problems.extend(exc.problems)
    try:
        parse_configuration(body)
    except ConfigurationError as exc:
        problems.extend(exc.problems)
    return problems


# show


def show(
    *,
    workload: str | None = None,
    service: str | None = None,
    document: bool = False,
    admin: str | None = None,
    token: str | None = None,
    output: Output = "text",
):
    """Show the configuration in force on one daemon.

    Without --workload and --service, shows the fleet-wide value of each setting and
    all exceptions. With one of them, shows the values that apply to it.

    :param workload: show the settings that apply to this workload
    :param service: show the settings that apply to this service
    :param document: print the published document instead
    :param admin: admin host:port, repeatable; the first that answers is used;
        default: ALMONDTIDE_CLI_ADMIN
    :param token: bearer token; default: ALMONDTIDE_CLI_TOKEN
    :param output: text or json
    """
    if workload is not None and service is not None:
        raise UsageError("--workload and --service cannot be used together")
    addresses = get_addresses(admin, ADMIN_VARIABLE, "--admin")
    report = curio.run(_first_report, addresses, get_token(token), "configuration")
    if report["body"] is None:
        raise ClientError("the daemon has no configuration yet", ResultCode.NOT_READY)
    if document:
        print_json(report["body"])
        return 0
    cfg = parse_configuration(report["body"], report["revision"])
    scope, target = _select_scope(cfg, workload, service)
    settings = _resolve_settings(cfg, report["body"].get("defaults", {}), scope, target)
    exceptions = [
        item for item in cfg.exceptions if target is None or item["target"] == target
    ]
    _print_settings(report, target, settings, exceptions, output)
    return 0


def _select_scope(cfg, workload, service):
    if workload is not None:
        if workload not in cfg.workloads:
            raise UsageError(f"workload {workload!r} is not in the configuration")
        return WORKLOAD, workload
    if service is not None:
        if service not in cfg.services():
            raise UsageError(f"service {service!r} is not in the configuration")
        return SERVICE, service
    return None, None


async def _first_report(addresses, token, name):
    """Return the report of the first address that answers."""
    client = AdminClient(token)
    failure = None
    try:
        for address in addresses:
            try:
                return await client.call(address, name)
            except ClientError as exc:
                failure = exc
    finally:
        await client.close()
    raise failure


def _resolve_settings(cfg, published, scope, target):
    """Return the settings as a list of dicts with name, scope, value and source.

    ``published`` is the dict of the defaults in the document.
    """
    resolved = []
    for name in SETTINGS.names():
        setting = SETTINGS.get(name)
        if scope is not None and setting.scope != scope:
            continue
        source = "default published" if name in published else "default built in"
        value = cfg.fleet_setting(name)
        for item in cfg.exceptions:
            if (item["scope"], item["target"], item["setting"]) == (
                scope,
                target,
                name,
            ):
                value = item["value"]
                source = f"exception: {item['reason']}"
        resolved.append(
            {"name": name, "scope": setting.scope, "value": value, "source": source}
        )
    order = (FLEET, WORKLOAD, SERVICE)
    resolved.sort(key=lambda item: (order.index(item["scope"]), item["name"]))
    return resolved


def _print_settings(report, target, settings, exceptions, output):
    if output == "json":
        print_json(
            {
                "revision": report["revision"],
                "digest": report["digest"],
                "target": target,
                "settings": settings,
                "exceptions": exceptions,
            }
        )
        return
    print_text(f"revision {report['revision']} digest {report['digest']}")
    columns = ("name", "scope", "value", "source")
    rows = [[item[column] for column in columns] for item in settings]
    print_text(format_table(("setting", "scope", "value", "source"), rows))
    if target is None and exceptions:
        columns = ("scope", "target", "setting", "value", "reason")
        rows = [[item[column] for column in columns] for item in exceptions]
        print_text("\n" + format_table(("exception for", "target", *columns[2:]), rows))


# status


def status(
    *,
    wait_revision: int | None = None,
    timeout_s: float = 10.0,
    admin: str | None = None,
    token: str | None = None,
    listed_only: bool = False,
    output: Output = "text",
):
    """Show the revision and digest on each daemon and whether they agree.

    With --wait-revision, waits until this revision or a newer one is in force on
    each daemon.

    :param wait_revision: revision to wait for
    :param timeout_s: longest wait in seconds
    :param admin: admin host:port, repeatable; default: ALMONDTIDE_CLI_ADMIN
    :param token: bearer token; default: ALMONDTIDE_CLI_TOKEN
    :param listed_only: ask only the addresses of --admin
    :param output: text or json
    """
    addresses = get_addresses(admin, ADMIN_VARIABLE, "--admin")
    token = get_token(token)
    return curio.run(
        _status, addresses, token, listed_only, wait_revision, timeout_s, output
    )


async def _status(addresses, token, listed_only, wait_revision, timeout_s, output):
    deadline = time.monotonic() + timeout_s
    while True:
        reports = await read_fleet_reports(addresses, token, listed_only, "status")
        rows = _revision_rows(reports)
        code = _compare_revisions(rows, wait_revision)
        if wait_revision is None or code == ResultCode.OK:
            break
        if time.monotonic() >= deadline:
            code = ResultCode.WAIT_TIMEOUT
            break
        await curio.sleep(WAIT_POLL_INTERVAL_S)
    _print_revisions(rows, code, output)
    return exit_status(code)


def _revision_rows(reports):
    rows = []
    for address, report in reports.items():
        row = {"admin": format_address(address)}
        if isinstance(report, ClientError):
            row.update(instance=None, revision=None, digest=None, error=report.message)
        else:
            row.update(
                instance=report["instance"],
                revision=report["configuration_revision"],
                digest=report["configuration_digest"],
                error=None,
            )
        rows.append(row)
    rows.sort(key=lambda row: (row["instance"] is None, row["instance"], row["admin"]))
    return rows


def _compare_revisions(rows, wait_revision):
    """Return OK, PARTIAL when a daemon does not answer, or DISAGREEMENT."""
    known = [row for row in rows if row["error"] is None]
    if len({(row["revision"], row["digest"]) for row in known}) > 1:
        return ResultCode.DISAGREEMENT
    if wait_revision is not None and any(
        row["revision"] is None or row["revision"] < wait_revision for row in known
    ):
        return ResultCode.DISAGREEMENT
    return ResultCode.OK if len(known) == len(rows) else ResultCode.PARTIAL


_SUMMARIES = {
    ResultCode.OK: "all daemons agree",
    ResultCode.PARTIAL: "the daemons that answer agree; some do not answer",
    ResultCode.DISAGREEMENT: "the daemons do not agree",
    ResultCode.WAIT_TIMEOUT: "the revision is not in force everywhere",
}


def _print_revisions(rows, code, output):
    if output == "json":
        print_json({"code": int(code), "name": code.name, "daemons": rows})
        return
    columns = ("instance", "admin", "revision", "digest", "error")
    print_text(format_table(columns, [[row[name] for name in columns] for row in rows]))
    print_text(_SUMMARIES[code])
