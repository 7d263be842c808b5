"""Live view of the fleet: the platform's list plus direct evidence of peers."""

from .rendezvous import rank

__all__ = ["ENTRY", "UPSTREAM", "Member", "Membership", "View", "parse_instances"]

ENTRY = "entry"
UPSTREAM = "upstream"
# How long direct evidence against a peer is believed without confirmation, in s.
SUSPICION_S = 2.0


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
        "leaving",
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
        leaving=False,
        weight=1.0,
    ):
        self.instance = instance
        self.role = role
        self.address = address
        self.domain = domain
        self.peer = peer
        self.admin = admin
        self.service = service
        self.leaving = leaving
        self.weight = weight


def _address(value):
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    return host, int(port)


def parse_instances(body):
    """Return the members of an ``instances`` document.

    Raises ``ValueError`` naming the first bad entry.
    """
    if not isinstance(body, dict) or not isinstance(body.get("instances"), list):
        raise ValueError("$.instances: must be a list")
    members = []
    for index, item in enumerate(body["instances"]):
        try:
            members.append(
                Member(
                    item["id"],
                    item["role"],
                    _address(item["address"]),
                    item["domain"],
                    peer=_address(item.get("peer")),
                    admin=_address(item.get("admin")),
                    service=item.get("service"),
                    leaving=item.get("state") == "leaving",
                    weight=float(item.get("weight", 1.0)),
                )
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise ValueError(f"$.instances[{index}]: {exc!r}") from exc
    return members


class View:
    """Immutable picture of the fleet at one moment."""

    __slots__ = ("_ranks", "_upstreams", "entries", "gone", "leaving")

    def __init__(self, members, leaving, gone):
        self.entries = {m.instance: m for m in members if m.role == ENTRY}
        self._upstreams = {}
        for member in members:
            if member.role == UPSTREAM:
                self._upstreams.setdefault(member.service, []).append(member)
        self.leaving = leaving
        self.gone = gone
        self._ranks = {}

    def live_entries(self):
        """Return the daemons that are neither gone nor leaving."""
        return [
            member
            for member in self.entries.values()
            if member.instance not in self.leaving and member.instance not in self.gone
        ]

    def upstreams(self, service):
        """Return the servers of ``service``."""
        return self._upstreams.get(service, [])

    def ranked(self, service):
        """Return the ids of the live daemons for ``service``, the owner first."""
        ranked = self._ranks.get(service)
        if ranked is None:
            candidates = self.live_entries()
            ranked = [member.instance for member in rank(service, candidates)]
            self._ranks[service] = ranked
        return ranked


class Membership:
    """Maintains the view from the list and from direct evidence.

    Direct evidence wins over the list, which lags: a peer that said that it is
    leaving stays so until its incarnation changes, and a peer that cannot be
    reached is left out until it answers or the suspicion expires.
    """

    __slots__ = (
        "_clock",
        "_incarnations",
        "_leaving",
        "_members",
        "_suspected",
        "_view",
        "instance",
        "on_change",
    )

    def __init__(self, instance, clock):
        self.instance = instance
        self._clock = clock
        self._members = []
        self._leaving = {}
        self._suspected = {}
        self._incarnations = {}
        self._view = View([], frozenset(), frozenset())
        self.on_change = None

    def view(self):
        """Return the current ``View``."""
        return self._view

    def find(self, instance):
        """Return the daemon with this id, or None."""
        return self._view.entries.get(instance)

    def peer_address(self, instance):
        """Return the peer address of a daemon, or None."""
        member = self._view.entries.get(instance)
        return member.peer if member is not None else None

    def incarnation(self, instance):
        """Return the newest incarnation seen of a daemon, or None."""
        return self._incarnations.get(instance)

    async def update_list(self, members):
        """Take over a new list of the platform."""
        self._members = members
        await self._rebuild()

    async def peer_seen(self, instance, incarnation):
        """Note an answer or a hello of a peer."""
        changed = self._suspected.pop(instance, None) is not None
        if self._incarnations.get(instance) != incarnation:
            self._incarnations[instance] = incarnation
            changed = self._leaving.pop(instance, None) is not None or changed
        if changed:
            await self._rebuild()

    async def peer_recovered(self, instance):
        """Note that a suspected peer answers again."""
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
        if self._leaving.get(instance) != incarnation:
            self._leaving[instance] = incarnation
            self._incarnations[instance] = incarnation
            await self._rebuild()

    async def expire(self):
        """Drop suspicions that are too old; call it about once a second."""
        now = self._clock.monotonic()
        expired = [name for name, until in self._suspected.items() if until <= now]
        for name in expired:
            del self._suspected[name]
        if expired:
            await self._rebuild()

    async def _suspect(self, instance):
        if instance == self.instance:
            return
        known = instance in self._suspected
        self._suspected[instance] = self._clock.monotonic() + SUSPICION_S
        if not known:
            await self._rebuild()

    async def _rebuild(self):
        leaving = {
            member.instance
            for member in self._members
            if member.leaving and member.instance != self.instance
        }
        leaving.update(self._leaving)
        self._view = View(self._members, frozenset(leaving), frozenset(self._suspected))
        if self.on_change is not None:
            await self.on_change()
