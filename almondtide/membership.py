"""View of the fleet, built from the platform's list and from contact with peers."""

from collections import deque

from .addresses import parse_address
from .rendezvous import RankTable

__all__ = ["ENTRY", "UPSTREAM", "Member", "Membership", "View", "parse_instances"]

# Roles of instances: a daemon that serves callers, and a back-end server.
ENTRY = "entry"
UPSTREAM = "upstream"
# How long a peer stays suspected after a failure. The time doubles with each further
# failure up to the maximum, so that a daemon that has stopped but is still listed
# costs few attempts.
MIN_SUSPICION_S = 2.0
MAX_SUSPICION_S = 16.0
# A daemon that the list no longer names stays in the view if it sent a message within
# this time. Meanwhile it is contacted about once a second, see
# ``Membership.unconfirmed_instances``.
CONTACT_TIMEOUT_S = 10.0
# How long the record of a daemon outside the view is kept. It must exceed the lag of
# the list: an outdated list would otherwise bring back a daemon that left.
RECORD_RETENTION_S = 600.0
MAX_ENDED_INCARNATIONS = 8
MAX_WEIGHT = 1e6


class Member:
    """One instance of the platform's list.

    Addresses are ``(host, port)``. ``address`` serves callers, or sub-requests if the
    instance is an upstream. ``peer`` serves other daemons and ``admin`` operators;
    both are None for an upstream.
    """

    __slots__ = (
        "address",
        "admin",
        "domain",
        "instance",
        "is_leaving",
        "peer",
        "role",
        "service",
        "weight",
    )

    def __init__(
        self,
        instance,
        role,
        address,
        domain,
        *,
        peer=None,
        admin=None,
        service=None,
        is_leaving=False,
        weight=1.0,
    ):
        self.instance = instance
        self.role = role
        self.address = address
        self.domain = domain
        self.peer = peer
        self.admin = admin
        self.service = service
        self.is_leaving = is_leaving
        self.weight = weight


def _parse_optional_address(value):
    """Return ``(host, port)``, or None for None.

    Raises ``ValueError`` for a malformed address and for port 0.
    """
    if value is None:
        return None
    address = parse_address(value)
    if address[1] == 0:
        raise ValueError(f"{value!r} has no port")
    return address


def _check_instance(item, seen_ids):
    """Check the fields of one instance and add its id to ``seen_ids``.

    Raises ``ValueError`` for an invalid field and an id that was seen before.
    """
    name = item["id"]
    if not isinstance(name, str) or name in seen_ids:
        raise ValueError(f"id {name!r} is not a string or appears twice")
    if item["role"] not in (ENTRY, UPSTREAM):
        raise ValueError(f"unknown role {item['role']!r}")
    if item["role"] == ENTRY and item.get("peer") is None:
        raise ValueError("an entry needs a peer address")
    if item["role"] == UPSTREAM and not isinstance(item.get("service"), str):
        raise ValueError("an upstream needs a service")
    if not isinstance(item["domain"], str) or item["address"] is None:
        raise ValueError("domain and address must be strings")
    weight = item.get("weight", 1.0)
    if type(weight) not in (int, float) or not 0 < weight <= MAX_WEIGHT:
        raise ValueError(f"weight {weight!r} is not a number above 0")
    seen_ids.add(name)


def parse_instances(body):
    """Return the members of an ``instances`` document.

    Raises ``ValueError`` with the path of the first invalid item.
    """
    if not isinstance(body, dict) or not isinstance(body.get("instances"), list):
        raise ValueError("$.instances: must be a list")
    members = []
    seen_ids = set()
    for index, item in enumerate(body["instances"]):
        try:
            _check_instance(item, seen_ids)
            members.append(
                Member(
                    item["id"],
                    item["role"],
                    _parse_optional_address(item["address"]),
                    item["domain"],
                    peer=_parse_optional_address(item.get("peer")),
                    admin=_parse_optional_address(item.get("admin")),
                    service=item["service"] if item["role"] == UPSTREAM else None,
                    is_leaving=item.get("state") == "leaving",
                    weight=float(item.get("weight", 1.0)),
                )
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise ValueError(f"$.instances[{index}]: {exc!r}") from exc
    return members


class View:
    """Immutable snapshot of the fleet.

    ``leaving``, ``suspected`` and ``starting`` are sets of ids of instances.
    ``cells`` maps a service to its cell, a group of services with the same owner.
    ``table`` is the ``RankTable`` that ranks the daemons for a cell.
    """

    __slots__ = (
        "_cells",
        "_ranks",
        "_table",
        "_upstreams",
        "entries",
        "leaving",
        "starting",
        "suspected",
    )

    def __init__(self, members, leaving, suspected, starting, cells, table):
        self._cells = cells
        self._table = table
        self.entries = {m.instance: m for m in members if m.role == ENTRY}
        self._upstreams = {}
        for member in members:
            if member.role == UPSTREAM:
                self._upstreams.setdefault(member.service, []).append(member)
        self.leaving = leaving
        self.suspected = suspected
        self.starting = starting
        self._ranks = {}

    def live_entries(self):
        """Return the daemons that are not suspected, leaving or starting."""
        return [
            member for member in self.entries.values() if self._is_live(member.instance)
        ]

    def upstreams(self, service):
        """Return the upstream servers of ``service``."""
        return self._upstreams.get(service, [])

    def ranked_instances(self, service):
        """Return the ids of the live daemons by rank for ``service``, owner first."""
        cell = self._cells.get(service, service)
        ranked = self._ranks.get(cell)
        if ranked is None:
            candidates = self._table.ranked(cell, self._is_live)
            ranked = [member.instance for member in candidates]
            self._ranks[cell] = ranked
        return ranked

    def _is_live(self, instance):
        return (
            instance not in self.leaving
            and instance not in self.suspected
            and instance not in self.starting
        )


class _PeerRecord:
    """What this daemon learned from the messages of one peer.

    ``last_heard_s`` is the monotonic time of the last message.
    ``ended_incarnations`` holds the incarnations that a newer one replaced.
    ``leaving_incarnation`` is the incarnation that reported its shutdown.
    ``has_restarted`` is True after a new incarnation was seen. A list that states the
    instance as leaving is then ignored until a list states it as live.
    """

    __slots__ = (
        "address",
        "ended_incarnations",
        "has_restarted",
        "incarnation",
        "is_starting",
        "last_heard_s",
        "leaving_incarnation",
    )

    def __init__(self):
        self.incarnation = None
        self.last_heard_s = None
        self.leaving_incarnation = None
        self.has_restarted = False
        # None until a digest tells whether the daemon is ready.
        self.is_starting = None
        self.ended_incarnations = deque(maxlen=MAX_ENDED_INCARNATIONS)
        self.address = None


class _Suspicion:
    __slots__ = ("duration_s", "until_s")

    def __init__(self):
        self.duration_s = 0.0
        self.until_s = 0.0


class Membership:
    """Builds the view from the platform's list and from messages of peers.

    The list defines which instances belong to the fleet. It lags, so the state of a
    daemon comes from its own messages, by instance and incarnation:

    * A daemon that reported its shutdown is leaving until a new incarnation of it is
      seen. The new incarnation is live once it is ready.
    * A daemon that the list no longer names stays while it sends messages.
    * A daemon that the list does not name yet is answered and can be asked for
      documents. It is not ranked and not returned to callers, because only the list
      tells which processes belong to the fleet and where callers reach them.

    A peer that cannot be reached is excluded by this daemon only. Suspicions are not
    sent to other daemons, because the cause may be this daemon's own network.
    """

    __slots__ = (
        "_cells",
        "_clock",
        "_delisted",
        "_leaving",
        "_listed",
        "_members",
        "_records",
        "_suspected",
        "_table",
        "_view",
        "instance",
        "on_change",
    )

    def __init__(self, instance, clock):
        self.instance = instance
        self._clock = clock
        self._members = []
        self._cells = {}
        self._listed = set()
        self._leaving = False
        # Daemons that the list no longer names, by id.
        self._delisted = {}
        self._records = {}
        self._suspected = {}
        self._table = RankTable()
        no_instances = frozenset()
        self._view = View(
            [], no_instances, no_instances, no_instances, self._cells, self._table
        )
        self.on_change = None

    def view(self):
        """Return the current ``View``."""
        return self._view

    def find(self, instance):
        """Return the daemon with this id, or None."""
        return self._view.entries.get(instance)

    def is_listed(self, instance):
        """Return whether the platform's list names this daemon."""
        return instance in self._listed

    def peer_address(self, instance):
        """Return the peer address of a daemon, or None if it is unknown."""
        member = self._view.entries.get(instance)
        if member is not None:
            return member.peer
        record = self._records.get(instance)
        return record.address if record is not None else None

    def incarnation(self, instance):
        """Return the newest incarnation seen of a daemon, or None."""
        record = self._records.get(instance)
        return record.incarnation if record is not None else None

    def silence_s(self, instance):
        """Return the seconds since the last message of a daemon, None without one."""
        record = self._records.get(instance)
        if record is None or record.last_heard_s is None:
            return None
        return self._clock.monotonic() - record.last_heard_s

    def unconfirmed_instances(self):
        """Return the daemons whose state must be found out by contacting them.

        These are the suspected daemons, those that the list no longer names and
        those that are starting. Leaving daemons are left out.
        """
        names = (*self._suspected, *self._delisted, *self._starting_instances())
        leaving = self._view.leaving
        return [name for name in dict.fromkeys(names) if name not in leaving]

    def _starting_instances(self):
        """Return the daemons in the view that are not ready yet."""
        return [
            name
            for name, record in self._records.items()
            if record.is_starting and name in self._view.entries
        ]

    async def update_list(self, members):
        """Replace the list of the platform by ``members``."""
        previous = {**self._delisted, **{m.instance: m for m in self._members}}
        self._members = members
        self._listed = {m.instance for m in members if m.role == ENTRY}
        self._delisted = {
            name: member
            for name, member in previous.items()
            if member.role == ENTRY
            and name not in self._listed
            and self._is_in_contact(name)
        }
        for member in members:
            record = self._records.get(member.instance)
            if record is not None and not member.is_leaving:
                record.has_restarted = False
        await self._rebuild()

    async def peer_seen(self, instance, incarnation, address=None, ready=None):
        """Record a message of a peer; returns False for an ended incarnation.

        ``address`` is the peer address that an unlisted daemon states. ``ready`` is
        the field of a digest, None for another message. A restarted daemon becomes
        live with its first ready digest, because it refuses callers before.
        """
        if instance == self.instance:
            return True
        record = self._records.setdefault(instance, _PeerRecord())
        if incarnation in record.ended_incarnations:
            return False
        record.last_heard_s = self._clock.monotonic()
        if address is not None:
            record.address = address
        changed = self._suspected.pop(instance, None) is not None
        if record.incarnation != incarnation:
            changed = self._note_incarnation(record, incarnation) or changed
        if ready is not None and record.is_starting is not False:
            changed = changed or record.is_starting is not (not ready)
            record.is_starting = not ready
        if changed:
            await self._rebuild()
        return True

    def _note_incarnation(self, record, incarnation):
        if record.incarnation is not None:
            record.ended_incarnations.append(record.incarnation)
            record.has_restarted = True
            record.is_starting = True
        record.incarnation = incarnation
        record.leaving_incarnation = None
        return record.has_restarted

    async def peer_recovered(self, instance):
        """Record that a suspected peer answers again."""
        record = self._records.get(instance)
        if record is not None:
            record.last_heard_s = self._clock.monotonic()
        if self._suspected.pop(instance, None) is not None:
            await self._rebuild()

    async def peer_suspected(self, instance):
        """Record that a peer doesn't answer."""
        await self._suspect(instance)

    async def peer_lost(self, instance):
        """Record that the connection to a peer was lost or refused."""
        await self._suspect(instance)

    async def peer_leaving(self, instance, incarnation):
        """Record that a peer is shutting down."""
        if instance == self.instance:
            return
        if not await self.peer_seen(instance, incarnation):
            return
        record = self._records[instance]
        if record.leaving_incarnation != incarnation:
            record.leaving_incarnation = incarnation
            await self._rebuild()

    async def set_cells(self, cells):
        """Set the cells of a new configuration."""
        if cells != self._cells:
            self._cells = cells
            await self._rebuild()

    async def set_leaving(self):
        """Record that this daemon itself is shutting down."""
        self._leaving = True
        await self._rebuild()

    async def forget_suspicions(self):
        """Drop all suspicions, for example after this process was paused."""
        if self._suspected:
            self._suspected.clear()
            await self._rebuild()

    async def expire(self):
        """Drop expired suspicions, silent delisted daemons and old records.

        Call it about once a second.
        """
        now = self._clock.monotonic()
        expired = [
            name
            for name, suspicion in self._suspected.items()
            if suspicion.until_s <= now and name in self._view.suspected
        ]
        silent = [name for name in self._delisted if not self._is_in_contact(name)]
        for name in silent:
            del self._delisted[name]
        self._expire_records()
        if expired or silent:
            await self._rebuild()

    def _expire_records(self):
        """Drop old records of daemons that are no longer in the fleet."""
        for name in list(self._records):
            if name in self._listed or name in self._delisted:
                continue
            if (self.silence_s(name) or 0.0) > RECORD_RETENTION_S:
                del self._records[name]

    def _is_in_contact(self, instance):
        silence_s = self.silence_s(instance)
        return silence_s is not None and silence_s <= CONTACT_TIMEOUT_S

    async def _suspect(self, instance):
        if instance not in self._view.entries or instance == self.instance:
            return
        now = self._clock.monotonic()
        suspicion = self._suspected.setdefault(instance, _Suspicion())
        was_suspected = suspicion.until_s > now
        if not was_suspected:
            doubled = max(MIN_SUSPICION_S, 2 * suspicion.duration_s)
            suspicion.duration_s = min(MAX_SUSPICION_S, doubled)
        suspicion.until_s = now + suspicion.duration_s
        if not was_suspected:
            await self._rebuild()

    def _is_leaving(self, member):
        if member.instance == self.instance:
            return self._leaving
        record = self._records.get(member.instance)
        if record is not None and record.leaving_incarnation is not None:
            return True
        return member.is_leaving and not (record is not None and record.has_restarted)

    async def _rebuild(self):
        now = self._clock.monotonic()
        members = [*self._members, *self._delisted.values()]
        for name in self._suspected.keys() - {m.instance for m in members}:
            del self._suspected[name]
        leaving = {m.instance for m in members if self._is_leaving(m)}
        suspected = {
            name for name, item in self._suspected.items() if item.until_s > now
        }
        self._table.update([m for m in members if m.role == ENTRY])
        starting = {
            name
            for name, record in self._records.items()
            if record.is_starting and name != self.instance
        }
        self._view = View(
            members,
            frozenset(leaving),
            frozenset(suspected),
            frozenset(starting),
            self._cells,
            self._table,
        )
        if self.on_change is not None:
            await self.on_change()
