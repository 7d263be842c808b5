"""Messages between daemons: CBOR arrays in datagrams and in snapshot bodies."""

import math
import struct
import zlib

import cbor2

from ..errors import DocumentError
from ..model.position import MAX_POSITION
from ..model.published import Server
from .evacuations import EvacuationNotice, EvacuationSummary
from .freshness import ReadStatement
from .members import RELAY_ABILITY, Member, MemberState

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "EndAnnouncement",
    "EvacuationUpdate",
    "Heartbeat",
    "LimitEnd",
    "LossReport",
    "Snapshot",
    "decode_message",
    "decode_snapshot",
    "encode_end_announcement",
    "encode_evacuations",
    "encode_heartbeat",
    "encode_limit_end",
    "encode_loss_reports",
    "encode_snapshot",
    "encode_updates",
]

# Fits into one network packet together with the headers.
MAX_DATAGRAM_BYTES = 1300
PROTOCOL_VERSION = 1
# Kinds of messages.
HEARTBEAT = 1
UPDATE = 2
LOSS_REPORT = 3
END_ANNOUNCEMENT = 4
LIMIT_END = 5
# Maximum number of servers in the loss report of one request.
MAX_LOST_SERVERS = 8
# Level 1 reduces the 30 KB of 290 servers to a third in 0.2 ms.
SNAPSHOT_COMPRESSION_LEVEL = 1
# Limit of a decompressed snapshot; one with 27,000 servers has 2.2 MB.
MAX_SNAPSHOT_BYTES = 16 << 20

# Longest time, in ms, for which a message may say that a leaving server still serves.
MAX_SERVING_MS = 600_000

# Index of the sender's abilities in a heartbeat, most that are read, and their longest
# name. Others are ignored, as they are written to the log.
ABILITIES_ITEM = 14
MAX_ABILITIES = 32
MAX_ABILITY_LENGTH = 32
# Index of the read of the store that confirms the sender's replica, in a heartbeat.
READ_ITEM = 15
# Index of the sender's clock in a heartbeat.
CLOCK_ITEM = 16
# Abilities of a build that names none but sends items 10 to 12.
IMPLIED_ABILITIES = frozenset({RELAY_ABILITY})

# Key of a service and demand for it, in units of 0.1 requests a second.
_DEMAND = struct.Struct(">IH")
DEMAND_UNITS_PER_S = 10
MAX_PACKED_DEMAND = (1 << 16) - 1

# Longest age that a message may state, in ms.
MAX_AGE_MS = 10**10
MAX_INTEGER = (1 << 64) - 1
MAX_PORT = (1 << 16) - 1
# Largest share of a core, scaled by its speed, that a member may state.
MAX_CPU_CAPACITY = 1e6
# Limit of a decompressed configuration, which the store limits to the same size.
MAX_CONFIGURATION_BYTES = 1 << 20

# Exceptions of the decoders below for messages of another shape.
_MALFORMED = (ValueError, TypeError, IndexError, KeyError)


class Heartbeat:
    """The state of a daemon, a summary of its replica, and members it knows.

    ``digest`` is that of ``StoreReplica``. ``age_s`` is the age of the replica, None
    before the first read. The replica has all changes up to the store's position
    ``cursor``; later ones are younger than ``cursor_age_s``, None if unknown. With
    ``wants_reply`` the sender asks for a heartbeat in return. ``demands`` maps keys of
    services whose servers limit their rate to the sender's demand in requests a second.
    A server last replied to the sender ``reply_age_s`` ago, None for never, and
    ``has_failing_links`` tells that it can reach no server. ``evacuations`` is an
    ``EvacuationSummary``, None from a sender that does not know or does not use them.
    ``abilities`` holds the names of what the sender's build can do for its peers.
    ``read`` is the ``ReadStatement`` on the latest read of the store that confirms the
    sender's replica, None before the first one and from earlier builds. ``sent_at`` is
    the time at which it was encoded, in s on the sender's own clock, None from earlier
    builds.
    """

    __slots__ = (
        "abilities",
        "age_s",
        "configuration_version",
        "cursor",
        "cursor_age_s",
        "demands",
        "digest",
        "evacuations",
        "has_failing_links",
        "members",
        "read",
        "reply_age_s",
        "sender",
        "sent_at",
        "wants_reply",
    )

    def __init__(
        self,
        sender,
        digest,
        configuration_version,
        age_s,
        members,
        wants_reply,
        cursor=0,
        cursor_age_s=None,
        demands=None,
        reply_age_s=None,
        has_failing_links=False,
        evacuations=None,
        abilities=(),
        read=None,
        sent_at=None,
    ):
        self.sender = sender
        self.digest = digest
        self.configuration_version = configuration_version
        self.age_s = age_s
        self.members = members
        self.wants_reply = wants_reply
        self.cursor = cursor
        self.cursor_age_s = cursor_age_s
        self.demands = demands or {}
        self.reply_age_s = reply_age_s
        self.has_failing_links = has_failing_links
        self.evacuations = evacuations
        self.abilities = frozenset(abilities)
        self.read = read
        self.sent_at = sent_at


class EvacuationUpdate:
    """An update that states evacuations.

    ``notices`` is a list of ``EvacuationNotice``. ``records`` and ``configuration``
    are those of any update, see ``decode_message``.
    """

    __slots__ = ("configuration", "notices", "records")

    def __init__(self, records, configuration, notices):
        self.records = records
        self.configuration = configuration
        self.notices = notices


class LossReport:
    """Servers that ended while they ran certain requests.

    ``losses`` is a list of (fingerprint of a request, ids of servers).
    """

    __slots__ = ("losses",)

    def __init__(self, losses):
        self.losses = losses


class EndAnnouncement:
    """The end that a server announced in its replies.

    The incarnation of ``server_id`` that was born at ``born_ms`` serves for
    ``serves_s`` more, 0.0 if it may have ended.
    """

    __slots__ = ("born_ms", "server_id", "serves_s")

    def __init__(self, server_id, born_ms, serves_s):
        self.server_id = server_id
        self.born_ms = born_ms
        self.serves_s = serves_s


class LimitEnd:
    """States that a server no longer limits its rate.

    It is the incarnation of ``server_id`` that was born at ``born_ms``.
    """

    __slots__ = ("born_ms", "server_id")

    def __init__(self, server_id, born_ms):
        self.server_id = server_id
        self.born_ms = born_ms


class Snapshot:
    """A whole replica: records, configuration, announced ends and evacuations.

    ``records`` are tuples of key, position and ``Server`` or None, of all changes up to
    ``position`` and some later ones. ``age_s`` is the age of the replica, ``ends`` a
    list of ``EndAnnouncement``.
    ``configuration_raw`` is the configuration's document. ``evacuations`` is an
    ``EvacuationSummary`` or None. ``invalid_keys`` are those of records that could not
    be read.
    """

    __slots__ = (
        "age_s",
        "configuration_position",
        "configuration_raw",
        "ends",
        "evacuations",
        "invalid_keys",
        "position",
        "records",
    )

    def __init__(
        self,
        age_s,
        position,
        configuration_position,
        configuration_raw,
        records,
        ends=(),
        evacuations=None,
        invalid_keys=(),
    ):
        self.age_s = age_s
        self.invalid_keys = list(invalid_keys)
        self.position = position
        self.configuration_position = configuration_position
        self.configuration_raw = configuration_raw
        self.records = records
        self.ends = list(ends)
        self.evacuations = evacuations


def _pack_member(member, now):
    return [
        member.name,
        member.incarnation,
        member.host,
        member.domain,
        int(member.state),
        round(member.cpu_capacity, 2),
        member.is_active,
        int(max(0.0, now - member.last_heard_at) * 1000),
    ]


def _unpack_member(item, now):
    name, incarnation, host, domain, state, cpu_capacity, is_active, age_ms = item
    return Member(
        _check_string(name),
        _check_integer(incarnation),
        _check_string(host),
        _check_string(domain),
        MemberState(_check_integer(state)),
        float(_check_number(cpu_capacity, MAX_CPU_CAPACITY)),
        bool(is_active),
        now - _check_number(age_ms, MAX_AGE_MS) / 1000.0,
    )


def _load(raw):
    """Decode CBOR; raises ``ValueError`` for any bytes that it cannot decode."""
    try:
        return cbor2.loads(raw)
    except Exception as exc:
        # The decoders of tagged values raise errors of many other classes.
        raise ValueError(f"not CBOR: {exc!r}") from exc


def _decompress(raw, max_bytes):
    """Return the whole decompressed content; raises ``ValueError``."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(raw, max_bytes)
    except zlib.error as exc:
        raise ValueError(f"not compressed: {exc}") from exc
    if decompressor.unconsumed_tail:
        raise ValueError(f"over {max_bytes} bytes")
    if not decompressor.eof:
        raise ValueError("the compressed content is cut off")
    return content


def _check_string(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _check_integer(value, maximum=MAX_INTEGER):
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not 0 <= value <= maximum
    ):
        raise ValueError(f"{value!r} is not an integer of 0 to {maximum}")
    return value


def _check_number(value, maximum):
    # Also false for a NaN, which compares as smaller than nothing.
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not 0 <= value <= maximum
    ):
        raise ValueError(f"{value!r} is not a number of 0 to {maximum}")
    return value


def _pack_age(age_s):
    # Rounded up, so that a replica never seems newer than it is.
    return None if age_s is None else math.ceil(age_s * 1000)


def _unpack_age(age_ms):
    return None if age_ms is None else _check_number(age_ms, MAX_AGE_MS) / 1000.0


def encode_heartbeat(heartbeat, now):
    """Return a ``Heartbeat`` as a datagram."""
    message = [
        PROTOCOL_VERSION,
        HEARTBEAT,
        _pack_member(heartbeat.sender, now),
        heartbeat.digest,
        heartbeat.configuration_version,
        _pack_age(heartbeat.age_s),
        [_pack_member(member, now) for member in heartbeat.members],
        heartbeat.wants_reply,
        heartbeat.cursor,
        _pack_age(heartbeat.cursor_age_s),
        _pack_demands(heartbeat.demands),
        _pack_age(heartbeat.reply_age_s),
        heartbeat.has_failing_links,
    ]
    optional = [
        _pack_evacuations(heartbeat.evacuations),
        sorted(heartbeat.abilities) or None,
        _pack_read(heartbeat.read),
        _pack_clock(heartbeat.sent_at),
    ]
    while optional and optional[-1] is None:
        optional.pop()
    return cbor2.dumps(message + optional)


def _pack_read(statement):
    if statement is None:
        return None
    return [statement.reader, statement.number, _pack_age(statement.age_s)]


def _unpack_read(item):
    """Return the ``ReadStatement`` in an item, or None."""
    if item is None:
        return None
    reader, number, age_ms = item[:3]
    return ReadStatement(
        _check_integer(reader),
        _check_integer(number),
        _check_number(age_ms, MAX_AGE_MS) / 1000.0,
    )


def _pack_notice(notice):
    return [
        notice.domain,
        notice.position,
        notice.is_active,
        min(MAX_SERVING_MS, int(notice.stops_s * 1000)),
    ]


def _unpack_notice(item):
    domain, position, is_active, stops_ms = item
    return EvacuationNotice(
        _check_string(domain),
        _check_integer(position, MAX_POSITION),
        bool(is_active),
        _unpack_serving_time(stops_ms),
    )


def _pack_evacuations(summary):
    if summary is None:
        return None
    return [
        _pack_age(summary.age_s),
        summary.floor,
        [_pack_notice(notice) for notice in summary.notices],
        _pack_read(summary.read),
    ]


def _unpack_evacuations(item):
    if item is None:
        return None
    age_ms, floor, notices = item[:3]
    return EvacuationSummary(
        _check_number(age_ms, MAX_AGE_MS) / 1000.0,
        _check_integer(floor, MAX_POSITION),
        [_unpack_notice(notice) for notice in notices],
        _unpack_read(item[3] if len(item) > 3 else None),
    )


def _unpack_abilities(message):
    """Return the abilities in a heartbeat's array.

    Builds that send items 10 to 12 but no abilities take relayed requests: both came
    with one change. Earlier builds have no ability.
    """
    if len(message) <= ABILITIES_ITEM or message[ABILITIES_ITEM] is None:
        return IMPLIED_ABILITIES if len(message) > 12 else frozenset()
    names = message[ABILITIES_ITEM]
    if not isinstance(names, list):
        raise ValueError("the abilities are not a list")
    return frozenset(
        name
        for name in map(_check_string, names[:MAX_ABILITIES])
        if len(name) <= MAX_ABILITY_LENGTH
    )


def _pack_demands(demands):
    return b"".join(
        _DEMAND.pack(key, min(MAX_PACKED_DEMAND, round(per_s * DEMAND_UNITS_PER_S)))
        for key, per_s in demands.items()
    )


def _unpack_demands(raw):
    if not isinstance(raw, bytes) or len(raw) % _DEMAND.size:
        raise ValueError("the demands are not pairs of key and number")
    return {key: units / DEMAND_UNITS_PER_S for key, units in _DEMAND.iter_unpack(raw)}


def _pack_server(server):
    if server is None:
        return None
    host, port = server.address
    return [
        server.id,
        server.service,
        host,
        port,
        server.domain,
        server.slots,
        server.leaving,
        server.cold,
        server.born_ms,
    ]


def _unpack_server(item):
    if item is None:
        return None
    id, service, host, port, domain, slots, leaving, cold, born_ms = item
    return Server(
        _check_string(id),
        _check_string(service),
        (_check_string(host), _check_integer(port, MAX_PORT)),
        _check_string(domain),
        max(1, _check_integer(slots)),
        bool(leaving),
        bool(cold),
        _check_integer(born_ms),
    )


def encode_updates(records, configuration=None, *, now):
    """Yield datagrams with records, and one with the configuration if given.

    ``configuration`` is a pair of the position and the document's compressed bytes,
    which fit into a datagram. For a leaving server the time for which it still
    serves, in ms, follows the record.
    """
    if configuration is not None:
        yield cbor2.dumps([PROTOCOL_VERSION, UPDATE, [], list(configuration)])
    batch = []
    size = 0
    for record in records:
        item = [record.key, record.position, _pack_server(record.server)]
        if record.serves_until > now:
            item.append(int((record.serves_until - now) * 1000))
        item_size = len(cbor2.dumps(item))
        # 32 bytes are left for the parts of the message around the records.
        if batch and size + item_size > MAX_DATAGRAM_BYTES - 32:
            yield cbor2.dumps([PROTOCOL_VERSION, UPDATE, batch, None])
            batch = []
            size = 0
        batch.append(item)
        size += item_size
    if batch:
        yield cbor2.dumps([PROTOCOL_VERSION, UPDATE, batch, None])


def encode_evacuations(notices):
    """Return an update with a list of ``EvacuationNotice`` as a datagram.

    Decoders of earlier builds find an update without records in it.
    """
    items = [_pack_notice(notice) for notice in notices]
    return cbor2.dumps([PROTOCOL_VERSION, UPDATE, [], None, items])


def encode_loss_reports(losses):
    """Yield a datagram for each (fingerprint of a request, ids of servers)."""
    for fingerprint, servers in losses:
        yield cbor2.dumps(
            [
                PROTOCOL_VERSION,
                LOSS_REPORT,
                [[fingerprint, list(servers)[:MAX_LOST_SERVERS]]],
            ]
        )


def encode_end_announcement(announcement):
    """Return an ``EndAnnouncement`` as a datagram."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            END_ANNOUNCEMENT,
            announcement.server_id,
            announcement.born_ms,
            int(announcement.serves_s * 1000),
        ]
    )


def encode_limit_end(end):
    """Return a ``LimitEnd`` as a datagram."""
    return cbor2.dumps([PROTOCOL_VERSION, LIMIT_END, end.server_id, end.born_ms])


def _unpack_limit_end(message):
    _, _, server_id, born_ms = message
    return LimitEnd(_check_string(server_id), _check_integer(born_ms))


def _unpack_end_announcement(message):
    _, _, server_id, born_ms, serving_ms = message
    return _unpack_end((server_id, born_ms, serving_ms))


def _unpack_end(item):
    server_id, born_ms, serving_ms = item
    return EndAnnouncement(
        _check_string(server_id),
        _check_integer(born_ms),
        _unpack_serving_time(serving_ms),
    )


def decode_message(raw, now, on_invalid=None):
    """Return a message of a peer, or (records, configuration) of an update.

    An update that states evacuations is an ``EvacuationUpdate``.
    Records are tuples of key, position, ``Server`` or None, and the time in s for
    which a leaving server may still be used. The configuration is None or a pair of
    position and document. ``on_invalid(key, reason)`` is called for a record that
    cannot be read, which costs no other. Raises ``DocumentError`` for anything else.
    """
    try:
        message = _load(raw)
        if message[0] != PROTOCOL_VERSION:
            raise ValueError(f"version {message[0]!r} is unknown")
        if message[1] == HEARTBEAT:
            return _unpack_heartbeat(message, now)
        if message[1] == LOSS_REPORT:
            return LossReport(
                [
                    (
                        _check_string(fingerprint),
                        [
                            _check_string(server)
                            for server in servers[:MAX_LOST_SERVERS]
                        ],
                    )
                    for fingerprint, servers in message[2]
                ]
            )
        if message[1] == END_ANNOUNCEMENT:
            return _unpack_end_announcement(message)
        if message[1] == LIMIT_END:
            return _unpack_limit_end(message)
        if message[1] == UPDATE:
            records, _ = _unpack_each(_unpack_update, message[2], on_invalid)
            configuration = _unpack_configuration(message[3])
            if len(message) > 4 and message[4]:
                notices = [_unpack_notice(item) for item in message[4]]
                return EvacuationUpdate(records, configuration, notices)
            return records, configuration
    except _MALFORMED as exc:
        raise DocumentError(f"message: {exc}") from exc
    raise DocumentError(f"message: kind {message[1]!r} is unknown")


def _unpack_configuration(item):
    if item is None:
        return None
    position, packed = item
    return (
        _check_integer(position, MAX_POSITION),
        _decompress(packed, MAX_CONFIGURATION_BYTES),
    )


def _unpack_heartbeat(message, now):
    (
        _,
        _,
        sender,
        digest,
        configuration_version,
        age_ms,
        members,
        wants_reply,
        cursor,
    ) = message[:9]
    # Peers of earlier builds leave out the fields after the cursor.
    cursor_age_ms = message[9] if len(message) > 9 else None
    demands, reply_age_ms, has_failing_links = b"", None, False
    if len(message) > 10:
        demands, reply_age_ms, has_failing_links = message[10:13]
    evacuations = _unpack_evacuations(message[13]) if len(message) > 13 else None
    return Heartbeat(
        _unpack_member(sender, now),
        _check_integer(digest),
        _check_integer(configuration_version),
        _unpack_age(age_ms),
        [_unpack_member(item, now) for item in members],
        bool(wants_reply),
        _check_integer(cursor, MAX_POSITION),
        _unpack_age(cursor_age_ms),
        _unpack_demands(demands),
        _unpack_age(reply_age_ms),
        bool(has_failing_links),
        evacuations,
        _unpack_abilities(message),
        _unpack_read(message[READ_ITEM] if len(message) > READ_ITEM else None),
        _unpack_clock(message[CLOCK_ITEM] if len(message) > CLOCK_ITEM else None),
    )


def _pack_clock(sent_at):
    return None if sent_at is None else int(sent_at * 1000)


def _unpack_clock(clock_ms):
    return None if clock_ms is None else _check_integer(clock_ms) / 1000.0


def _unpack_update(item):
    key, position, server, *rest = item
    return (
        _check_string(key),
        _check_integer(position, MAX_POSITION),
        _unpack_server(server),
        _unpack_serving_time(rest[0]) if rest else 0.0,
    )


def _unpack_serving_time(value):
    return _check_number(value, MAX_SERVING_MS) / 1000.0


def _unpack_record(item):
    key, position, server = item
    return (
        _check_string(key),
        _check_integer(position, MAX_POSITION),
        _unpack_server(server),
    )


def _unpack_each(unpack, items, on_invalid):
    """Return (records, keys of those that cannot be read); see ``decode_message``."""
    if not isinstance(items, list):
        raise ValueError("the records are not a list")
    records, invalid_keys = [], []
    for item in items:
        try:
            records.append(unpack(item))
        except _MALFORMED as exc:
            has_key = isinstance(item, list) and item and isinstance(item[0], str)
            key = item[0] if has_key else ""
            invalid_keys.append(key)
            if on_invalid is not None:
                on_invalid(key, str(exc))
    return records, invalid_keys


def encode_snapshot(replica, position, age_s, ends=None, evacuations=None):
    """Return a whole replica as one compressed body.

    ``position`` is one up to which it has all changes: that of its newest record is
    not, since the update of an earlier change may be lost.

    ``ends`` is a list of ``EndAnnouncement``, or None for a peer of a build whose
    decoder takes no further items. ``evacuations`` is an ``EvacuationSummary``, or None
    if they are not known or not used.
    """
    message = [
        PROTOCOL_VERSION,
        age_s,
        position,
        replica.configuration_position,
        replica.configuration_raw,
        [
            [record.key, record.position, _pack_server(record.server)]
            for record in replica.all_records()
        ],
    ]
    if ends is not None:
        message.append(
            [[end.server_id, end.born_ms, int(end.serves_s * 1000)] for end in ends]
        )
        if evacuations is not None:
            message.append(_pack_evacuations(evacuations))
    return zlib.compress(cbor2.dumps(message), SNAPSHOT_COMPRESSION_LEVEL)


def decode_snapshot(raw, on_invalid=None):
    """Return the ``Snapshot`` in a body; raises ``DocumentError``.

    For ``on_invalid`` see ``decode_message``.
    """
    try:
        message = _load(_decompress(raw, MAX_SNAPSHOT_BYTES))
        version, age_s, position, cfg_position, cfg_raw, records, *rest = message
        if version != PROTOCOL_VERSION:
            raise ValueError(f"version {version!r} is unknown")
        if not isinstance(cfg_raw, bytes):
            raise ValueError("the configuration is not bytes")
        records, invalid_keys = _unpack_each(_unpack_record, records, on_invalid)
        return Snapshot(
            _check_number(age_s, MAX_AGE_MS / 1000.0),
            _check_integer(position, MAX_POSITION),
            _check_integer(cfg_position, MAX_POSITION),
            cfg_raw,
            records,
            [_unpack_end(item) for item in (rest[0] if rest else ())],
            _unpack_evacuations(rest[1]) if len(rest) > 1 else None,
            invalid_keys,
        )
    except _MALFORMED as exc:
        raise DocumentError(f"snapshot: {exc}") from exc
