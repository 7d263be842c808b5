"""Live view of the fleet: the platform's list plus direct evidence of peers."""

from collections import deque

from .addresses import parse_address
from .rendezvous import RankTable

__all__ = ["ENTRY", "UPSTREAM", "Member", "Membership", "View", "parse_instances"]

ENTRY = "entry"
UPSTREAM = "upstream"
# How long direct evidence against a peer is believed without confirmation, in s.
# It doubles with each further failure up to the maximum, so that a daemon that is
# gone for good but still listed costs few attempts.
MIN_SUSPICION_S = 2.0
MAX_SUSPICION_S = 16.0
# A daemon that the list dropped stays while it was heard within this time, in s.
# It is probed about once a second meanwhile, see ``Membership.unconfirmed_instances``.
CONTACT_TIMEOUT_S = 10.0
# Evidence about daemons outside the view is dropped after this time, in s. It must
# exceed the lag of the list, or a daemon that left would be taken as live again.
RECORD_RETENTION_S = 600.0
MAX_ENDED_INCARNATIONS = 8
MAX_WEIGHT = 1e6


class Member:
    """One instance of the platform's list.

    ``address`` serves callers (or, for an upstream, sub-requests), ``peer`` other
    daemons, ``admin`` operators; all are ``(host, port)``, the latter two None
    for an upstream.
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
    """Return (host, port) or None; raises ``ValueError``, also for port 0."""
    if value is None:
        return None
    address = parse_address(value)
    if address[1] == 0:
        raise ValueError(f"{value!r} has no port")
    return address


def _check_instance(item, seen_ids):
    """Note the id of an entry; raises ``ValueError`` for a bad field."""
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

    Raises ``ValueError`` naming the first bad entry.
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
    """Immutable picture of the fleet at one moment.

    ``cells`` maps a service to its cell; daemons are ranked for cells by
    ``table``.
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
        """Return the daemons that are neither gone nor leaving nor starting."""
        return [
            member for member in self.entries.values() if self._is_live(member.instance)
        ]

    def upstreams(self, service):
        """Return the servers of ``service``."""
        return self._upstreams.get(service, [])

    def ranked_instances(self, service):
        """Return the ids of the live daemons for ``service``, the owner first."""
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
    """Direct evidence of one daemon.

    ``heard`` is the monotonic time of its last message. ``former`` holds
    incarnations that have ended. ``leaving`` is the incarnation that said that it
    is leaving. ``restarted`` tells that the incarnation replaced another one; a list
    that calls the instance leaving is then out of date until it says live once.
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
        # None until it is known whether the incarnation has served.
        self.is_starting = None
        self.ended_incarnations = deque(maxlen=MAX_ENDED_INCARNATIONS)
        self.address = None


class _Suspicion:
    __slots__ = ("duration_s", "until_s")

    def __init__(self):
        self.duration_s = 0.0
        self.until_s = 0.0


class Membership:
    """Maintains the view from the list and from direct evidence.

    The list tells who belongs to the fleet; direct evidence, which is keyed by
    (instance, incarnation), tells what state a daemon is in, because the list
    lags. A daemon that said that it is leaving stays so until a new incarnation
    of it is seen, which is live as soon as it serves. A daemon that the list no
    longer names is kept while it is in contact. A daemon that the list does not
    name yet is answered and can be asked for documents, but it is not ranked and
    not given to callers: only the list tells which processes belong to the fleet
    and under which addresses callers reach them.

    A peer that cannot be reached is left out by this daemon alone; suspicion is
    not sent to others, because it may be due to this daemon's own network.
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
        # Daemons that the list no longer names.
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
        """Return the peer address of a daemon, or None."""
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
        """Return the time since a daemon was heard, in seconds, or None."""
        record = self._records.get(instance)
        if record is None or record.last_heard_s is None:
            return None
        return self._clock.monotonic() - record.last_heard_s

    def unconfirmed_instances(self):
        """Return the daemons whose state needs direct contact to be settled.

        These are the suspected ones, those that only contact keeps in the view,
        and those that are starting.
        """
        names = (*self._suspected, *self._delisted, *self._starting_instances())
        leaving = self._view.leaving
        return [name for name in dict.fromkeys(names) if name not in leaving]

    def _starting_instances(self):
        """Return the daemons in the view that are not known to serve yet."""
        return [
            name
            for name, record in self._records.items()
            if record.is_starting and name in self._view.entries
        ]

    async def update_list(self, members):
        """Take over a new list of the platform."""
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
        """Note a message of a peer; returns False for an ended incarnation.

        ``address`` is the peer address that an unlisted daemon states. ``ready``
        is what a digest says; a restarted daemon is live from its first ready
        digest on, because callers sent to it earlier would be refused.
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
        """Note that a suspected peer answers again."""
        record = self._records.get(instance)
        if record is not None:
            record.last_heard_s = self._clock.monotonic()
        if self._suspected.pop(instance, None) is not None:
            await self._rebuild()

    async def peer_suspected(self, instance):
        """Note that a peer is silent."""
        await self._suspect(instance)

    async def peer_lost(self, instance):
        """Note that the connection to a peer was lost or refused."""
        await self._suspect(instance)

    async def peer_leaving(self, instance, incarnation):
        """Note that a peer is shutting down."""
        if instance == self.instance:
            return
        if not await self.peer_seen(instance, incarnation):
            return
        record = self._records[instance]
        if record.leaving_incarnation != incarnation:
            record.leaving_incarnation = incarnation
            await self._rebuild()

    async def set_cells(self, cells):
        """Take over the cells of a new configuration."""
        if cells != self._cells:
            self._cells = cells
            await self._rebuild()

    async def set_leaving(self):
        """Note that this daemon itself is shutting down."""
        self._leaving = True
        await self._rebuild()

    async def forget_suspicions(self):
        """Drop all suspicions, for example those of a process that was paused."""
        if self._suspected:
            self._suspected.clear()
            await self._rebuild()

    async def expire(self):
        """Drop evidence that is too old; call it about once a second."""
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
        """Bound the evidence about daemons that are no longer in the fleet."""
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
