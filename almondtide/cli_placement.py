"""Command ``placement``: where an entry would send a request now, and why."""

from urllib.parse import urlencode

import curio

from .adapters.http import HTTPClient
from .addresses import format_address
from .cli_arguments import Output, UsageError, get_addresses
from .errors import ClientError
from .presentation import format_table, print_json, print_text

__all__ = ["placement"]

TIMEOUT_S = 2.0
CONTROL_VARIABLE = "ALMONDTIDE_CLI_CONTROL"
# Exit status if the request would be refused.
REFUSED_STATUS = 1
COLUMNS = ("service", "state", "waiting", "server", "domain", "cost", "why not")


def placement(
    host: str,
    path: str,
    *,
    body_bytes: int = 0,
    control: str | None = None,
    output: Output = "text",
):
    """Show where an entry would send a request now, and why, without sending it.

    Lists the servers of each service by cost, the first one being the choice, and what
    keeps the request from the others. The exit status is 1 if it would be refused.

    :param host: host of the request
    :param path: path of the request
    :param body_bytes: size of the request's body
    :param control: host:port of an entry's control address; default:
        ALMONDTIDE_CLI_CONTROL
    :param output: text or json
    """
    if body_bytes < 0:
        raise UsageError("--body-bytes must not be negative")
    address = get_addresses(control, CONTROL_VARIABLE, "--control")[0]
    answer = curio.run(_ask, address, host, path, body_bytes)
    if output == "json":
        print_json(answer)
    else:
        _print_answer(answer)
    alternatives = answer["alternatives"]
    is_admitted = any(item["is_admitted"] for item in alternatives)
    return 0 if is_admitted else REFUSED_STATUS


async def _ask(address, host, path, body_bytes):
    query = urlencode({"host": host, "path": path, "body_bytes": body_bytes})
    try:
        async with curio.timeout_after(TIMEOUT_S):
            client = await HTTPClient.open(address, TIMEOUT_S)
            try:
                response = await client.request("GET", f"/placement?{query}")
            finally:
                await client.close()
    except (OSError, curio.TaskTimeout) as exc:
        raise ClientError(f"no answer from {format_address(address)}: {exc}") from exc
    if response.status != 200:
        raise ClientError(f"{format_address(address)}: status {response.status}")
    return response.json()


def _print_answer(answer):
    if answer["route"] is None:
        print_text(f"refused: {answer['reason']}")
        return
    print_text(f"route {answer['route']}, rank {answer['rank']}")
    for item in answer["alternatives"]:
        share = "" if item["weight"] is None else f" (weight {item['weight']})"
        if item["is_admitted"]:
            print_text(f"admitted{share}")
        else:
            after_ms = item["retry_after_ms"]
            print_text(
                f"refused{share}: {item['reason']}; come back after {after_ms} ms"
            )
        print_text(format_table(COLUMNS, list(_rows(item["services"]))))


def _rows(services):
    for service in services:
        first = [service["service"], service["state"], service["waiting"]]
        for server in service["servers"] or [None]:
            if server is None:
                yield [*first, "none", "", "", ""]
            else:
                why = server["obstacle"] or (
                    "chosen" if server["id"] == service["chosen"] else ""
                )
                yield [*first, server["id"], server["domain"], server["cost"], why]
            first = ["", "", ""]
