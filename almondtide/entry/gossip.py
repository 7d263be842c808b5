"""Datagrams between daemons: beats, news of the store, and snapshots."""

import random
import zlib

import curio
from curio import socket

from ..adapters.http import HTTPClient, HTTPResponse
from ..errors import DocumentError, UpstreamError
from .codec import (
    MAX_DATAGRAM,
    Beat,
    LossReport,
    decode_message,
    decode_snapshot,
    encode_beat,
    encode_losses,
    encode_news,
    encode_snapshot,
)
from .members import MemberState

__all__ = ["Gossip"]

SNAPSHOT_PATH = "/snapshot"
# Time between two beats, in s; carriers are watched more closely, and a daemon
# without knowledge asks for it, at first often.
CARRIER_BEAT_S = 0.3
BEAT_S = 1.0
ASKING_BEAT_S = 0.1
ASKING_GROWTH = 1.25
# Members that a beat or news of a carrier goes to. In a small fleet these are all.
# In a large one, carriers speak to each other and to members of their own failure
# domain, and the others to its carriers and a few more, so that the traffic of a
# daemon does not grow with the fleet and little of it crosses domains. Word of
# single members elsewhere heals a view that has fallen apart.
CARRIER_FANOUT = 20
DOMAIN_FANOUT = 16
NEWS_FANOUT = 40
FANOUT = 3
FAR_FANOUT = 1
RELAYED = 3
LARGE_RELAYED_CARRIERS = 8
# Members that an answer to a daemon that has just started tells about.
REPLY_MEMBERS = 12
# Time, in s, for which a differing digest may be news on its way; a large fleet
# prefers snapshots of the own failure domain.
DIFFERENCE_S = 0.25
FAR_DIFFERENCE_S = 1.0
PULL_TIMEOUT_S = 1.0
# Silent members that each beat asks whether they are back.
LOST_ASKED = 1
MAX_CONFIGURATION_BYTES = 1 << 20


class Gossip:
    """Keeps the view and the knowledge of one daemon in line with the others.

    ``on_changes(facts, configured)`` is an async function called for each change.
    """

    __slots__ = (
        "_differs_since",
        "_feed",
        "_log",
        "_now",
        "_on_changes",
        "_on_loss",
        "_pulled_at",
        "_replica",
        "_sock",
        "_tasks",
        "_urgent",
        "counts",
        "settings",
        "view",
    )

    def __init__(self, settings, view, replica, feed, on_changes, now, log):
        self.settings = settings
        self.view = view
        self._replica = replica
        self._feed = feed
        self._on_changes = on_changes
        self._on_loss = None
        self._now = now
        self._log = log
        self._sock = None
        self._tasks = []
        self._differs_since = None
        self._pulled_at = 0.0
        self._urgent = curio.Event()
        self.counts = {"datagrams_out": 0, "datagrams_in": 0, "bytes_out": 0}

    def on_loss(self, function):
        """Set the function that takes (fingerprint, server ids) from other daemons."""
        self._on_loss = function

    async def start(self):
        """Bind the socket and start the tasks."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(self.settings.gossip_address)
        self._sock = sock
        for function in (self._receive, self._beat_loop):
            self._tasks.append(await curio.spawn(function, daemon=True))

    async def stop(self):
        """End the tasks and close the socket."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        if self._sock is not None:
            await self._sock.close()

    async def speak(self):
        """Send a beat to the members at once."""
        await self._urgent.set()

    # Sending

    async def _beat_loop(self):
        asking_s = ASKING_BEAT_S
        while True:
            await self._send_beats()
            self._urgent.clear()
            if not self._replica.is_complete:
                pause_s = asking_s
                asking_s = min(BEAT_S, asking_s * ASKING_GROWTH)
            else:
                pause_s = CARRIER_BEAT_S if self.view.local_member.is_active else BEAT_S
            async with curio.ignore_after(pause_s * random.uniform(0.8, 1.2)):
                await self._urgent.wait()

    async def _send_beats(self):
        now = self._now()
        local = self.view.local_member
        local.last_heard_at = now
        targets = self._targets(now)
        wants_reply = not self._replica.is_complete or not targets
        active_hosts = {member.host for member in targets if member.is_active}
        hosts = [member.host for member in targets]
        if wants_reply:
            hosts.extend(host for host, _ in self.settings.seeds)
        hosts.extend(self._lost(now))
        raw = encode_beat(self._beat(self._relayed(now), now, wants_reply), now)
        brief = raw
        if local.is_active and self.view.is_large:
            # Carriers hear each other anyway.
            brief = encode_beat(
                self._beat(self._sample_standby_members(now), now, wants_reply), now
            )
        for host in dict.fromkeys(hosts):
            if host != local.host:
                await self._send(brief if host in active_hosts else raw, host)

    def _others(self, now):
        local = self.view.local_member
        return [
            member for member in self.view.alive_members(now) if member is not local
        ]

    def _targets(self, now):
        """Return the members that a beat of this daemon goes to."""
        others = self._others(now)
        local = self.view.local_member
        if self.view.is_large:
            return self._near_targets(others)
        if local.state is MemberState.LEAVING:
            return others
        chosen = [member for member in others if member.is_active]
        if local.is_active:
            chosen = _sample(chosen, CARRIER_FANOUT)
            rest = CARRIER_FANOUT - len(chosen)
        else:
            rest = FANOUT
        return chosen + _sample(_without(others, chosen), rest)

    def _near_targets(self, others):
        own, far = self._by_domain(others)
        if self.view.local_member.is_active:
            chosen = _sample([m for m in others if m.is_active], CARRIER_FANOUT)
            chosen += _sample(_without(own, chosen), DOMAIN_FANOUT)
        else:
            active_members = [member for member in own if member.is_active]
            chosen = _sample(
                active_members or [m for m in others if m.is_active], FANOUT
            )
            chosen += _sample(_without(own, chosen), FANOUT - FAR_FANOUT)
        return chosen + _sample(_without(far, chosen), FAR_FANOUT)

    def _by_domain(self, others):
        """Return (members of the own failure domain, members of other ones)."""
        domain = self.view.local_member.domain
        own = [member for member in others if member.domain == domain]
        return own, _without(others, own)

    def _news_targets(self, now, relayed):
        """Return the members that news go to; ``relayed`` if a member sent them.

        In a large fleet the first daemon tells the carriers everywhere and each
        failure domain tells itself, so that news cross domains a few times only.
        """
        if not self.view.is_large:
            return self._targets(now)
        own, far = self._by_domain(self._others(now))
        chosen = _sample(
            own, NEWS_FANOUT if self.view.local_member.is_active else FANOUT
        )
        if not relayed:
            return chosen + _sample(_heads(far), CARRIER_FANOUT)
        if self.view.local_member.is_active:
            chosen += _sample(_heads(far), FAR_FANOUT)
        return chosen

    def _relayed(self, now):
        """Return the members that a beat tells about."""
        if not self.view.local_member.is_active:
            return []
        others = self._others(now)
        if not self.view.is_large:
            return _sample(others, RELAYED)
        active_members = [member for member in others if member.is_active]
        return _sample(
            active_members, LARGE_RELAYED_CARRIERS
        ) + self._sample_standby_members(now)

    def _sample_standby_members(self, now):
        """Return a few members that do not carry, for a beat to tell about."""
        standby_members = [
            member for member in self._others(now) if not member.is_active
        ]
        return _sample(standby_members, RELAYED)

    def _lost(self, now):
        """Return hosts of a few silent members, which may be back."""
        silent = [
            member.host
            for member in self.view.members.values()
            if not self.view.is_alive(member, now)
        ]
        return _sample(silent, LOST_ASKED)

    def _beat(self, heard, now, wants_reply):
        replica = self._replica
        cursor, read_at = self._feed.shared_cursor
        return Beat(
            self.view.local_member,
            replica.digest,
            replica.configuration_version,
            replica.age_s(now),
            heard,
            wants_reply,
            cursor,
            None if read_at is None else max(0.0, now - read_at),
        )

    async def _send(self, raw, host):
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(raw)
        try:
            await self._sock.sendto(raw, (host, self.settings.gossip_address[1]))
        except OSError as exc:
            # A datagram may be lost anyway; the next beat repeats it.
            self._log.debug("datagram_not_sent", host=host, error=str(exc))

    async def spread(self, records, is_configuration_new, source=None):
        """Send news to the members, except to the ``source`` host."""
        now = self._now()
        targets = self._news_targets(now, source is not None)
        hosts = [member.host for member in targets if member.host != source]
        configuration = None
        if is_configuration_new:
            packed = zlib.compress(self._replica.configuration_raw)
            if len(packed) < MAX_DATAGRAM - 64:
                revision = self._replica.configuration_revision
                configuration = (revision, packed)
        for raw in encode_news(records, configuration, now=now):
            for host in hosts:
                await self._send(raw, host)
        if is_configuration_new and configuration is None:
            # Too large for a datagram: members pull it when a beat names it.
            await self.speak()

    async def spread_losses(self, losses):
        """Tell those who carry callers of servers that were lost under requests."""
        active_members = [m for m in self._others(self._now()) if m.is_active]
        for raw in encode_losses(losses):
            for member in _sample(active_members, NEWS_FANOUT):
                await self._send(raw, member.host)

    # Receiving

    async def _receive(self):
        while True:
            # The next datagram arrives after this, however late it is taken.
            since = self._now()
            try:
                raw, (host, _) = await self._sock.recvfrom(65536)
            except OSError as exc:
                self._log.debug("datagram_not_received", error=str(exc))
                continue
            self.counts["datagrams_in"] += 1
            now = self._now()
            try:
                message = decode_message(raw, now)
            except DocumentError as exc:
                self._log.warning("datagram_invalid", host=host, reason=exc.message)
                continue
            if isinstance(message, Beat):
                await self._on_beat(message, host, now, since)
            elif isinstance(message, LossReport):
                for fingerprint, servers in message.losses:
                    self._on_loss(fingerprint, servers)
            else:
                await self._on_updates(*message, host, now, since)

    async def _on_beat(self, beat, host, now, since):
        self._update_member(beat.sender, now)
        for member in beat.heard:
            self._update_member(member, now)
        if beat.wants_reply:
            await self._reply(host, now)
        if beat.age_s is not None:
            await self._compare(beat, host, now, since)

    def _update_member(self, member, now):
        if self.view.update(member):
            self._log.info(
                "member_news",
                member=member.name,
                incarnation=member.incarnation,
                state=member.state.name,
                carries=member.is_active,
                age_s=round(now - member.last_heard_at, 2),
            )

    async def _reply(self, host, now):
        """Tell a daemon that has just started about members, carriers first."""
        others = self._others(now)
        active_members = [member for member in others if member.is_active]
        heard = _sample(active_members, REPLY_MEMBERS)
        rest = [member for member in others if not member.is_active]
        heard += _sample(rest, REPLY_MEMBERS - len(heard))
        await self._send(encode_beat(self._beat(heard, now, False), now), host)

    async def _compare(self, beat, host, now, since):
        replica = self._replica
        if (
            beat.digest == replica.digest
            and beat.version == replica.configuration_version
        ):
            self._differs_since = None
            replica.mark_fresh(now - beat.age_s)
            age_s = beat.cursor_age_s
            self._feed.take_cursor(
                beat.cursor, None if age_s is None else since - age_s
            )
            return
        age_s = replica.age_s(now)
        if age_s is not None and beat.age_s >= age_s:
            return
        if self._differs_since is None:
            self._differs_since = now
        far = self.view.is_large and beat.sender.domain != self.view.local_member.domain
        patience_s = FAR_DIFFERENCE_S if far else DIFFERENCE_S
        waited = now - self._differs_since >= patience_s
        # Carriers bring a configuration into their domain, the others fetch it there.
        newer = beat.version > replica.configuration_version
        newer = newer and (self.view.local_member.is_active or not far)
        if not replica.is_complete or waited or newer:
            await self._pull_later(host, now)

    async def _pull_later(self, host, now):
        if now - self._pulled_at < DIFFERENCE_S:
            return
        self._pulled_at = now
        await curio.spawn(self._pull, host, daemon=True)

    async def _on_updates(self, records, configuration, host, now, since):
        changed = [
            record
            for record in (
                self._replica.merge_server(key, revision, server, now, since + serves_s)
                for key, revision, server, serves_s in records
            )
            if record is not None
        ]
        is_configuration_new = False
        if configuration is not None:
            is_configuration_new = self._unpack_configuration(configuration, host)
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, f"peer {host}")
            if self.view.is_large:
                await self.spread(changed, is_configuration_new, host)

    def _unpack_configuration(self, configuration, host):
        try:
            revision, packed = configuration
            inflater = zlib.decompressobj()
            raw = inflater.decompress(packed, MAX_CONFIGURATION_BYTES)
            return self._feed.merge_configuration(raw, int(revision))
        except (zlib.error, TypeError, ValueError) as exc:
            self._log.warning("datagram_invalid", host=host, reason=str(exc))
            return False

    # Snapshots

    async def serve(self, request):
        """Answer a peer on the control address."""
        if request.path != SNAPSHOT_PATH or not self._replica.is_complete:
            return HTTPResponse(404)
        age_s = self._replica.age_s(self._now())
        return HTTPResponse(200, encode_snapshot(self._replica, age_s))

    async def _pull(self, host):
        address = (host, self.settings.control_address[1])
        try:
            async with curio.timeout_after(PULL_TIMEOUT_S):
                client = await HTTPClient.open(address, PULL_TIMEOUT_S)
                try:
                    response = await client.request("GET", SNAPSHOT_PATH)
                finally:
                    await client.close()
            if response.status != 200:
                return
            snapshot = decode_snapshot(response.body)
        except (OSError, UpstreamError, DocumentError, curio.TaskTimeout) as exc:
            self._log.warning("snapshot_failed", host=host, error=str(exc))
            return
        await self._apply_snapshot(snapshot, host)

    async def _apply_snapshot(self, snapshot, host):
        age_s, revision, cfg_revision, cfg_raw, records = snapshot
        now = self._now()
        replica = self._replica
        is_configuration_new = self._feed.merge_configuration(cfg_raw, cfg_revision)
        keys = {key for key, _, _ in records}
        missing = replica.keys_missing_from(keys, revision)
        records.extend((key, revision, None) for key in missing)
        changed = [
            record
            for record in (replica.merge_server(*record, now) for record in records)
            if record is not None
        ]
        replica.mark_fresh(now - age_s)
        self._differs_since = None
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, f"snapshot {host}")
        if is_configuration_new and self.view.local_member.is_active:
            await self.speak()


def _sample(members, count):
    """Return up to ``count`` members, chosen at random."""
    if len(members) <= count:
        return list(members)
    return random.sample(members, max(0, count))


def _without(members, others):
    """Return the members that are not among the others."""
    names = {member.name for member in others}
    return [member for member in members if member.name not in names]


def _heads(members):
    """Return the carriers, and one member of each domain that has none."""
    heads = [member for member in members if member.is_active]
    headless = {}
    led = {member.domain for member in heads}
    for member in members:
        if member.domain not in led:
            headless.setdefault(member.domain, []).append(member)
    return heads + [random.choice(group) for group in headless.values()]
