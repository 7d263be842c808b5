"""Decoder of the settings file that the platform writes for each process."""

import orjson

from ..errors import SettingsError
from ..model.published import Settings
from .fields import Fields, parse_address

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "read_settings"]

SETTINGS_VARIABLE = "ALMONDTIDE_SETTINGS"
# Port of the metrics, also declared to the platform in ``deploy/system.toml``.
METRICS_PORT = 9464
# Name in the list of contracts that asks for shedding by cost.
PRESSURE_CONTRACT = "pressure"
BYTES_PER_MB = 1_000_000


def read_settings(path):
    """Return the ``Settings`` in the file; raises ``SettingsError``."""
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as exc:
        raise SettingsError([f"{path}: {exc.strerror}"]) from exc
    return decode_settings(raw)


def decode_settings(raw):
    """Return the ``Settings`` of a JSON document; raises ``SettingsError``.

    The error lists all problems. Unknown fields are ignored.
    """
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise SettingsError([f"settings: not valid JSON: {exc}"]) from exc
    fields = Fields(document)
    listen = fields.object("listen")
    limits = fields.object("limits")
    bounds = fields.object("bounds")
    ip = fields.string("ip")
    settings = Settings(
        instance=fields.string("node_name"),
        region=fields.string("region"),
        domain=fields.string("zone"),
        domains=_parse_domains(fields, document),
        caller_address=listen.address("front"),
        readiness_address=listen.address("readiness"),
        control_address=listen.address("control"),
        directory_address=listen.address("directory"),
        gossip_address=_parse_gossip_address(fields, document, ip),
        metrics_address=(ip, METRICS_PORT),
        seeds=_parse_seeds(fields),
        # True only at the first start of the whole system.
        is_first_start=fields.boolean("bootstrap", False),
        store_address=fields.object("platform").address("address"),
        # A share of 0.5 of a core that is twice as fast as usual counts as 1.0.
        core_share=(limits.number("cpu_share", 1.0) * limits.number("cores", 1.0)),
        heartbeat_s=fields.number("heartbeat_ms", 1200) / 1000.0,
        drain_s=bounds.number("drain_ms", 3000) / 1000.0,
        grace_s=bounds.number("grace_s", 6.0),
        config_apply_s=bounds.number("config_apply_ms", 3000) / 1000.0,
        extra_ratio=bounds.number("retry_budget_ratio", 0.2),
        extra_window_s=bounds.number("budget_window_s", 10.0),
        extra_slack=bounds.number("budget_slack", 0),
        max_ttl_s=bounds.number("ttl_max_s", 5.0),
        contact_s=bounds.number("contact_ms", 5000) / 1000.0,
        evacuate_s=_to_seconds(bounds.number("evacuate_ms", None)),
        warmup_overshoot=bounds.number("warmup_overshoot", None),
        warmup_slack=bounds.number("warmup_slack", None),
        memory_bytes=_to_bytes(limits.number("memory_mb", None)),
        region_of_domain=_parse_regions(document),
        spans_domains=fields.object("fault_tolerance").integer("zones", 0) > 0,
        sheds_by_cost=PRESSURE_CONTRACT in fields.strings("contracts", []),
    )
    if fields.problems:
        raise SettingsError(fields.problems)
    return settings


def _to_seconds(ms):
    return None if ms is None else ms / 1000.0


def _to_bytes(megabytes):
    return None if megabytes is None else int(megabytes * BYTES_PER_MB)


def _parse_regions(document):
    """Return a dict from failure domain to region; domains without one are left out."""
    zones = document.get("zones") if isinstance(document, dict) else None
    if not isinstance(zones, dict):
        return {}
    return {
        zone: region
        for zone, region in zones.items()
        if isinstance(region, str) and region
    }


def _parse_domains(fields, document):
    zones = document.get("zones", {}) if isinstance(document, dict) else {}
    if not isinstance(zones, (dict, list)) or not all(
        isinstance(name, str) for name in zones
    ):
        fields.problems.append("zones: not an object or a list of names")
        return ()
    return tuple(sorted(zones))


def _parse_gossip_address(fields, document, ip):
    ports = document.get("port_range") if isinstance(document, dict) else None
    if (
        not isinstance(ports, list)
        or len(ports) != 2
        or not all(isinstance(port, int) and 0 < port < 65536 for port in ports)
    ):
        fields.problems.append("port_range: not two ports")
        return None
    return ip, ports[0]


def _parse_seeds(fields):
    seeds = []
    for text in fields.strings("seeds", []):
        address = parse_address(text)
        if address is None:
            fields.problems.append(f"seeds: {text!r} is not an address")
        else:
            seeds.append(address)
    return tuple(seeds)
