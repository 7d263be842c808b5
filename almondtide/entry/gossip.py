"""Gossip between daemons: heartbeats, updates of the store, and snapshots.

Heartbeats carry membership and a digest of the sender's replica. Updates spread
changes of the store as soon as one daemon knows them. A daemon whose digest stays
different pulls a snapshot of the peer's whole replica (anti-entropy).
"""

import random
import zlib

import curio
from curio import socket

from ..adapters.http import HTTPClient, HTTPResponse
from ..errors import DocumentError, UpstreamError
from ..model.position import era_of
from ..platform.documents import SERVER_PREFIX
from ..supervision import Supervised, error_place
from .codec import (
    MAX_DATAGRAM_BYTES,
    EndAnnouncement,
    EvacuationUpdate,
    Heartbeat,
    LimitEnd,
    LossReport,
    decode_message,
    decode_snapshot,
    encode_end_announcement,
    encode_evacuations,
    encode_heartbeat,
    encode_limit_end,
    encode_loss_reports,
    encode_snapshot,
    encode_updates,
)
from .members import RELAY_ABILITY, MemberState
from .run_time import RunTime
from .transit_delay import TransitDelays

__all__ = ["Gossip"]

SNAPSHOT_PATH = "/snapshot"
# Query of a peer whose decoder takes announced ends in a snapshot.
SNAPSHOT_QUERY_WITH_ENDS = "ends=1"
# Time between two heartbeats, in s. Active members send more often, so that their
# failure is detected sooner. A daemon whose replica is incomplete asks its peers, at
# first often, then at intervals that grow by a factor.
ACTIVE_HEARTBEAT_S = 0.3
HEARTBEAT_S = 1.0
JOIN_HEARTBEAT_S = 0.1
JOIN_HEARTBEAT_GROWTH = 1.25
# Number of members that a message is sent to. In a small fleet an active member
# reaches all. In a large fleet active members send to each other and to members of
# their own failure domain; standbys send to the active members of their domain and a
# few others. So the traffic of a daemon doesn't grow with the fleet, and little of it
# crosses failure domains. The few messages to other domains rejoin a membership view
# that was partitioned.
ACTIVE_FANOUT = 20
SAME_DOMAIN_FANOUT = 16
UPDATE_FANOUT = 40
STANDBY_FANOUT = 3
OTHER_DOMAIN_FANOUT = 1
# Number of other members whose state a heartbeat relays.
RELAYED_MEMBERS = 3
LARGE_RELAYED_ACTIVE_MEMBERS = 8
# Number of members in the reply to a daemon that has just started, and most announced
# ends that are sent to one peer at a time. The rest follows with the next snapshot.
REPLY_MEMBERS = 12
REPLY_ENDS = 16
# Most services whose demand a heartbeat reports. Of more, a random part is reported.
MAX_REPORTED_DEMANDS = 64
# A digest may differ for this time, in s, because an update is still in transit. In a
# large fleet snapshots of other failure domains are delayed further, so that mostly
# those of the own domain are pulled.
DIGEST_GRACE_S = 0.25
OTHER_DOMAIN_DIGEST_GRACE_S = 1.0
PULL_TIMEOUT_S = 1.0
# Longest time in s from making a message to sending it. What is left of the time for
# which a leaving server serves has a margin of 0.6 s.
MAX_SEND_DELAY_S = 0.5
# Delay of a datagram beyond the usual one, in s, from which on it is counted as held.
LONG_TRANSIT_S = 0.25
# Largest datagram that is received, in bytes.
MAX_RECEIVED_BYTES = 1 << 16
# Number of failed members that also get each heartbeat, in case they are back.
SILENT_PROBED = 1
# What this build can do for its peers; heartbeats name it.
ABILITIES = frozenset({RELAY_ABILITY})


class Gossip:
    """Synchronizes the membership view and the replica of one daemon with its peers.

    ``on_changes(records, is_configuration_new, source)`` is an async function called
    after each change of the replica; ``source`` is a text for the log.
    """

    __slots__ = (
        "_digest_differs_since",
        "_feed",
        "_heartbeat_requested",
        "_last_pull_at",
        "_links",
        "_log",
        "_now",
        "_on_changes",
        "_on_end_announced",
        "_on_limit_end",
        "_on_loss",
        "_rate_shares",
        "_replica",
        "_run_time",
        "_sock",
        "_tasks",
        "_transit_delays",
        "_version_lag",
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
        self._on_end_announced = None
        self._on_limit_end = None
        self._on_loss = None
        self._rate_shares = None
        self._run_time = RunTime()
        self._links = None
        self._version_lag = None
        self._transit_delays = TransitDelays()
        self._now = now
        self._log = log
        self._sock = None
        self._tasks = []
        self._digest_differs_since = None
        self._last_pull_at = 0.0
        self._heartbeat_requested = curio.Event()
        self.counts = {
            "datagrams_out": 0,
            "datagrams_in": 0,
            "bytes_out": 0,
            "datagrams_invalid": 0,
            "records_invalid": 0,
            "datagrams_failed": 0,
            "datagrams_stale": 0,
            "datagrams_held": 0,
        }

    def set_loss_handler(self, function):
        """Set the function called with (fingerprint, ids of servers) from peers."""
        self._on_loss = function

    def set_end_handler(self, function):
        """Set the function called for the end of a server that a peer knows.

        It is called with (id of the server, its birth in ms, time of its end).
        """
        self._on_end_announced = function

    def set_limit_end_handler(self, function):
        """Set the function called when a peer sees that a server limits no more.

        It is called with (id of the server, its birth in ms, time).
        """
        self._on_limit_end = function

    def set_links(self, links):
        """Set the ``LinkMonitor`` whose state heartbeats exchange."""
        self._links = links

    def set_run_time(self, run_time):
        """Set the ``RunTime`` of this process."""
        self._run_time = run_time

    def set_version_lag(self, version_lag):
        """Set the ``VersionLag`` that hears of the versions of heartbeats."""
        self._version_lag = version_lag

    def set_rate_shares(self, rate_shares):
        """Set the ``RateShares`` whose demands heartbeats exchange."""
        self._rate_shares = rate_shares

    async def start(self):
        """Bind the socket and start the tasks."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(self.settings.gossip_address)
        self._sock = sock
        tasks = {"gossip": self._receive, "heartbeats": self._run_heartbeats}
        for name, function in tasks.items():
            task = Supervised(name, function, self._now, self._log)
            self._tasks.append(await curio.spawn(task.run, daemon=True))

    async def stop(self):
        """End the tasks and close the socket."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        if self._sock is not None:
            await self._sock.close()

    async def trigger_heartbeat(self):
        """Send heartbeats now instead of after the usual interval."""
        await self._heartbeat_requested.set()

    # Sending

    async def _run_heartbeats(self):
        join_pause_s = JOIN_HEARTBEAT_S
        while True:
            await self._send_heartbeats()
            self._heartbeat_requested.clear()
            if not self._replica.is_complete:
                pause_s = join_pause_s
                join_pause_s = min(HEARTBEAT_S, join_pause_s * JOIN_HEARTBEAT_GROWTH)
            else:
                pause_s = (
                    ACTIVE_HEARTBEAT_S
                    if self.view.local_member.is_active
                    else HEARTBEAT_S
                )
            async with curio.ignore_after(pause_s * random.uniform(0.8, 1.2)):
                await self._heartbeat_requested.wait()

    async def _send_heartbeats(self):
        now = self._now()
        local = self.view.local_member
        local.last_heard_at = now
        targets = self._heartbeat_targets(now)
        wants_reply = not self._replica.is_complete or not targets
        active_hosts = {member.host for member in targets if member.is_active}
        hosts = [member.host for member in targets]
        if wants_reply:
            hosts.extend(host for host, _ in self.settings.seeds)
        hosts.extend(self._sample_silent_hosts(now))
        raw = encode_heartbeat(
            self._make_heartbeat(self._members_to_relay(now), now, wants_reply), now
        )
        short_raw = raw
        if local.is_active and self.view.is_large:
            # Active members get each other's heartbeats directly.
            short_raw = encode_heartbeat(
                self._make_heartbeat(
                    self._sample_standby_members(now), now, wants_reply
                ),
                now,
            )
        for host in dict.fromkeys(hosts):
            if host != local.host:
                await self._send(short_raw if host in active_hosts else raw, host, now)

    def _other_members(self, now):
        local = self.view.local_member
        return [
            member for member in self.view.alive_members(now) if member is not local
        ]

    def _heartbeat_targets(self, now):
        """Return the members that a heartbeat of this daemon is sent to."""
        others = self._other_members(now)
        local = self.view.local_member
        if self.view.is_large:
            return self._large_fleet_targets(others)
        if local.state is MemberState.LEAVING:
            return others
        chosen = [member for member in others if member.is_active]
        if local.is_active:
            chosen = _sample(chosen, ACTIVE_FANOUT)
            other_count = ACTIVE_FANOUT - len(chosen)
        else:
            other_count = STANDBY_FANOUT
        return chosen + _sample(_exclude(others, chosen), other_count)

    def _large_fleet_targets(self, others):
        same_domain, other_domains = self._split_by_domain(others)
        if self.view.local_member.is_active:
            chosen = _sample([m for m in others if m.is_active], ACTIVE_FANOUT)
            chosen += _sample(_exclude(same_domain, chosen), SAME_DOMAIN_FANOUT)
        else:
            active_members = [member for member in same_domain if member.is_active]
            chosen = _sample(
                active_members or [m for m in others if m.is_active], STANDBY_FANOUT
            )
            chosen += _sample(
                _exclude(same_domain, chosen), STANDBY_FANOUT - OTHER_DOMAIN_FANOUT
            )
        return chosen + _sample(_exclude(other_domains, chosen), OTHER_DOMAIN_FANOUT)

    def _split_by_domain(self, others):
        """Return (members of the local failure domain, members of other domains)."""
        domain = self.view.local_member.domain
        same_domain = [member for member in others if member.domain == domain]
        return same_domain, _exclude(others, same_domain)

    def _update_targets(self, now, is_relayed):
        """Return the members that an update is sent to.

        ``is_relayed`` tells that the update came from a peer. In a large fleet the
        first daemon sends it to the active members of all failure domains, and each
        domain spreads it among its own members, so that an update crosses domains
        only a few times.
        """
        if not self.view.is_large:
            return self._heartbeat_targets(now)
        same_domain, other_domains = self._split_by_domain(self._other_members(now))
        chosen = _sample(
            same_domain,
            UPDATE_FANOUT if self.view.local_member.is_active else STANDBY_FANOUT,
        )
        if not is_relayed:
            return chosen + _sample(_domain_contacts(other_domains), ACTIVE_FANOUT)
        if self.view.local_member.is_active:
            chosen += _sample(_domain_contacts(other_domains), OTHER_DOMAIN_FANOUT)
        return chosen

    def _members_to_relay(self, now):
        """Return the members whose state a heartbeat relays."""
        if not self.view.local_member.is_active:
            return []
        others = self._other_members(now)
        if not self.view.is_large:
            return _sample(others, RELAYED_MEMBERS)
        active_members = [member for member in others if member.is_active]
        return _sample(
            active_members, LARGE_RELAYED_ACTIVE_MEMBERS
        ) + self._sample_standby_members(now)

    def _sample_standby_members(self, now):
        """Return a few standbys whose state a heartbeat relays."""
        standby_members = [
            member for member in self._other_members(now) if not member.is_active
        ]
        return _sample(standby_members, RELAYED_MEMBERS)

    def _sample_silent_hosts(self, now):
        """Return hosts of a few failed members, which may be back."""
        silent = [
            member.host
            for member in self.view.members.values()
            if not self.view.is_alive(member, now)
        ]
        return _sample(silent, SILENT_PROBED)

    def _make_heartbeat(self, members, now, wants_reply):
        replica = self._replica
        cursor, read_at = self._feed.shared_position
        return Heartbeat(
            self.view.local_member,
            replica.digest,
            replica.configuration_version,
            replica.age_s(now),
            members,
            wants_reply,
            cursor,
            None if read_at is None else max(0.0, now - read_at),
            self._demands_to_report(now),
            None if self._links is None else self._links.reply_age_s(now),
            self._links is not None and self._links.is_failing,
            self._feed.evacuations.summary(now),
            ABILITIES,
            replica.freshness.statement(now),
            now,
        )

    def _demands_to_report(self, now):
        if self._rate_shares is None:
            return {}
        demands = self._rate_shares.local_demands(now)
        if len(demands) <= MAX_REPORTED_DEMANDS:
            return demands
        return dict(random.sample(list(demands.items()), MAX_REPORTED_DEMANDS))

    async def _send(self, raw, host, made_at):
        """Send a datagram whose ages and remaining times are those of ``made_at``.

        After a pause of this process they are not true any more, so it is dropped.
        """
        if self._now() - made_at > MAX_SEND_DELAY_S:
            self.counts["datagrams_stale"] += 1
            return
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(raw)
        try:
            await self._sock.sendto(raw, (host, self.settings.gossip_address[1]))
        except OSError as exc:
            # Datagrams may be lost anyway; the next heartbeat makes up for it.
            self._log.debug("datagram_not_sent", host=host, error=str(exc))

    async def send_updates(
        self, records, is_configuration_new, source_host=None, is_known_elsewhere=False
    ):
        """Send changed records and a new configuration to other members.

        ``source_host`` is the host of the peer that sent the update, or None. That
        peer does not get it again. With ``is_known_elsewhere`` the other failure
        domains learn of it by themselves.
        """
        now = self._now()
        is_relayed = source_host is not None or is_known_elsewhere
        targets = self._update_targets(now, is_relayed)
        hosts = [member.host for member in targets if member.host != source_host]
        configuration = None
        if is_configuration_new:
            packed = zlib.compress(self._replica.configuration_raw)
            # 64 bytes are left for the position and the rest of the message.
            if len(packed) < MAX_DATAGRAM_BYTES - 64:
                position = self._replica.configuration_position
                configuration = (position, packed)
        for raw in encode_updates(records, configuration, now=now):
            for host in hosts:
                await self._send(raw, host, now)
        if is_configuration_new and configuration is None:
            # Too large for a datagram: members pull a snapshot when a heartbeat names
            # the new version.
            await self.trigger_heartbeat()

    async def send_evacuations(self, evacuations, source_host=None):
        """Send changed ``Evacuation`` objects to other members, as an update."""
        now = self._now()
        raw = encode_evacuations(self._feed.evacuations.notices(now, evacuations))
        for member in self._update_targets(now, source_host is not None):
            if member.host != source_host:
                await self._send(raw, member.host, now)

    async def send_loss_reports(self, losses):
        """Report servers that ended while they ran requests to the active members."""
        active_members = [m for m in self._other_members(self._now()) if m.is_active]
        for raw in encode_loss_reports(losses):
            for member in _sample(active_members, UPDATE_FANOUT):
                await self._send(raw, member.host, self._now())

    async def send_end_announcement(self, server, serves_s):
        """Record that a server says that it leaves, and tell other members.

        They may not have heard it from the server itself, and the store may never say
        so.
        """
        now = self._now()
        key = SERVER_PREFIX + server.id
        if self._replica.announce_end(key, server.born_ms, now + serves_s):
            end = EndAnnouncement(server.id, server.born_ms, serves_s)
            await self._send_end(end, self._update_targets(now, False), now)

    async def send_limit_end(self, server):
        """Tell other members that a server no longer limits its rate.

        Those without a part of the rate send nothing to it that would tell them.
        """
        raw = encode_limit_end(LimitEnd(server.id, server.born_ms))
        now = self._now()
        for member in self._update_targets(now, False):
            await self._send(raw, member.host, now)

    async def _send_end(self, end, members, now):
        raw = encode_end_announcement(end)
        for member in members:
            await self._send(raw, member.host, now)

    def _announced_ends(self, now):
        """Return ``EndAnnouncement`` objects for all announced ends, newest first."""
        ends = [
            EndAnnouncement(
                key[len(SERVER_PREFIX) :], end.born_ms, max(0.0, end.until - now)
            )
            for key, end in self._replica.announced_ends()
        ]
        return sorted(ends, key=lambda end: -end.serves_s)

    # Receiving

    async def _receive(self):
        # Lower bound of the next datagram's arrival: no other one was waiting in the
        # socket's buffer then. Several may wait at the end of a pause.
        empty_at = self._now()
        while True:
            started_at = self._now()
            try:
                raw, (host, _) = self._sock._socket.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                empty_at = started_at
                received = await self._receive_next()
                if received is None:
                    continue
                raw, (host, _) = received
            except OSError as exc:
                self._log.debug("datagram_not_received", error=str(exc))
                continue
            self.counts["datagrams_in"] += 1
            await self.receive_datagram(raw, host, empty_at)

    async def _receive_next(self):
        """Wait for a datagram; return it with its address, or None after an error."""
        try:
            return await self._sock.recvfrom(MAX_RECEIVED_BYTES)
        except OSError as exc:
            self._log.debug("datagram_not_received", error=str(exc))
            return None

    async def receive_datagram(self, raw, host, arrived_after):
        """Handle one datagram; one that cannot be handled is logged and counted.

        ``arrived_after`` is a time before it can have arrived.
        """
        now = self._now()
        # Members whose heartbeats waited here while this process stood still may have
        # ended meanwhile, and this process relays what it heard of them.
        arrived_at = arrived_after + self._run_time.ran_s(arrived_after, now)
        try:
            message = decode_message(raw, arrived_at, self._note_invalid_record)
        except DocumentError as exc:
            self.counts["datagrams_invalid"] += 1
            self._log.warning("datagram_invalid", host=host, reason=exc.message[:200])
            return
        try:
            await self._on_message(message, host, now, arrived_after, arrived_at)
        except Exception as exc:
            self.counts["datagrams_failed"] += 1
            self._log.error(
                "datagram_failed", host=host, error=repr(exc), at=error_place(exc)
            )

    def _note_invalid_record(self, key, reason):
        self.counts["records_invalid"] += 1
        self._log.warning("record_invalid", key=key[:200], reason=reason[:200])

    async def _on_message(self, message, host, now, arrived_after, arrived_at):
        if isinstance(message, Heartbeat) and message.sent_at is not None:
            delay_s = self._transit_delays.note(
                host, message.sender.incarnation, message.sent_at, arrived_at, now
            )
        else:
            # A link that holds heartbeats holds other messages as long.
            delay_s = self._transit_delays.latest_s(host)
        if delay_s > LONG_TRANSIT_S:
            self.counts["datagrams_held"] += 1
            self._log.debug("datagram_held", host=host, ms=int(delay_s * 1000))
        arrived_after -= delay_s
        arrived_at -= delay_s
        if isinstance(message, Heartbeat):
            await self._on_heartbeat(message, host, now, arrived_after, arrived_at)
        elif isinstance(message, EndAnnouncement):
            if self._learn_end(message, arrived_after) and self.view.is_large:
                await self._send_end(message, self._update_targets(now, True), now)
        elif isinstance(message, LimitEnd):
            self._on_limit_end(message.server_id, message.born_ms, arrived_after)
        elif isinstance(message, LossReport):
            for fingerprint, servers in message.losses:
                self._on_loss(fingerprint, servers)
        elif isinstance(message, EvacuationUpdate):
            await self._on_evacuations(message.notices, host, now, arrived_after)
            await self._on_updates(
                message.records, message.configuration, host, now, arrived_after
            )
        else:
            await self._on_updates(*message, host, now, arrived_after)

    def _learn_end(self, end, counted_from):
        """Record an end that a peer knows; return whether it was not known.

        The time for which the server still serves runs from ``counted_from``.
        """
        until = counted_from + end.serves_s
        is_new = self._replica.announce_end(
            SERVER_PREFIX + end.server_id, end.born_ms, until
        )
        self._on_end_announced(end.server_id, end.born_ms, until)
        if is_new:
            self._log.info(
                "server_end_learned",
                server=end.server_id,
                serves_ms=int(end.serves_s * 1000),
            )
        return is_new

    async def _on_evacuations(self, notices, host, now, arrived_after):
        if not self._feed.uses_evacuations:
            return
        for notice in notices:
            self._feed.note_era(era_of(notice.position), now)
        changed, _ = self._feed.learn_evacuations(
            notices, arrived_after, now, f"peer {host}"
        )
        if changed and self.view.is_large:
            await self.send_evacuations(changed, host)

    def _learn_all_evacuations(
        self, summary, position, host, now, sent_at, counted_from
    ):
        """Take over the evacuations in a heartbeat or a snapshot of a peer.

        ``position`` is that of the peer's replica; for the times see
        ``Evacuations.confirm``. Return whether the peer knows them and all were taken
        over, so that its cursor may be adopted.
        """
        feed = self._feed
        if not feed.uses_evacuations:
            return True
        if summary is None:
            return False
        is_complete = feed.learn_all_evacuations(
            summary, counted_from, now, f"peer {host}"
        )
        if is_complete and era_of(position) >= feed.era:
            feed.evacuations.confirm(summary, sent_at, counted_from)
        return is_complete

    async def _on_heartbeat(self, heartbeat, host, now, arrived_after, arrived_at=None):
        """Handle a heartbeat at the time ``now``.

        It arrived later than ``arrived_after``, and at about ``arrived_at``, or now.
        """
        arrived_at = now if arrived_at is None else arrived_at
        self._feed.note_era(era_of(heartbeat.cursor), now)
        has_evacuations = self._learn_all_evacuations(
            heartbeat.evacuations,
            heartbeat.cursor,
            host,
            now,
            arrived_at,
            arrived_after,
        )
        self._update_member(heartbeat.sender, now)
        if self.view.note_abilities(heartbeat.sender, heartbeat.abilities):
            self._log.info(
                "member_abilities",
                member=heartbeat.sender.name,
                abilities=" ".join(sorted(heartbeat.abilities)) or "none",
            )
        for member in heartbeat.members:
            self._update_member(member, now)
        if self._version_lag is not None:
            self._version_lag.note_heard(
                heartbeat.configuration_version, heartbeat.sender.name
            )
        if self._links is not None:
            age_s = heartbeat.reply_age_s
            self._links.note_peer(
                heartbeat.sender.name,
                None if age_s is None else arrived_at - age_s,
                heartbeat.has_failing_links,
                now,
            )
        if heartbeat.demands and self._rate_shares is not None:
            self._rate_shares.note_report(
                heartbeat.sender.name, heartbeat.demands, arrived_at
            )
        if heartbeat.wants_reply:
            await self._send_reply(host, now)
        if heartbeat.age_s is not None:
            await self._compare_replicas(
                heartbeat, host, now, arrived_after, has_evacuations, arrived_at
            )

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

    async def _send_reply(self, host, now):
        """Send a heartbeat with many members, active ones first."""
        others = self._other_members(now)
        active_members = [member for member in others if member.is_active]
        members = _sample(active_members, REPLY_MEMBERS)
        rest = [member for member in others if not member.is_active]
        members += _sample(rest, REPLY_MEMBERS - len(members))
        await self._send(
            encode_heartbeat(self._make_heartbeat(members, now, False), now), host, now
        )
        for end in self._announced_ends(now)[:REPLY_ENDS]:
            await self._send(encode_end_announcement(end), host, now)

    async def _compare_replicas(
        self,
        heartbeat,
        host,
        now,
        arrived_after,
        has_evacuations=True,
        arrived_at=None,
    ):
        replica = self._replica
        arrived_at = now if arrived_at is None else arrived_at
        if era_of(heartbeat.cursor) < self._feed.era:
            # The sender does not know yet that the store was restored. Equal contents
            # do not show that it has the changes since.
            return
        if (
            heartbeat.digest == replica.digest
            and heartbeat.configuration_version == replica.configuration_version
        ):
            self._digest_differs_since = None
            read = heartbeat.read
            if read is not None:
                began_at = arrived_at - read.age_s
                replica.freshness.note_read(read.reader, read.number, began_at)
            elif replica.fresh_at is None:
                # An age that names no read, as of an earlier build, may be too small.
                # It completes a replica, but confirms no known one.
                replica.freshness.note_copy(arrived_after - heartbeat.age_s)
            if not has_evacuations:
                # The changes up to the sender's cursor may contain evacuations.
                return
            age_s = heartbeat.cursor_age_s
            self._feed.adopt_cursor(
                heartbeat.cursor,
                None if age_s is None else arrived_after - age_s,
                f"peer {host}",
            )
            return
        is_other_domain = (
            self.view.is_large
            and heartbeat.sender.domain != self.view.local_member.domain
        )
        # A newer configuration is pulled at once, whichever replica is older. In a
        # large fleet only active members pull it from another failure domain; standbys
        # pull it within their own.
        has_newer_configuration = (
            heartbeat.configuration_version > replica.configuration_version
        ) and (self.view.local_member.is_active or not is_other_domain)
        age_s = replica.age_s(now)
        is_older = age_s is not None and heartbeat.age_s >= age_s
        if is_older and not has_newer_configuration:
            return
        if self._digest_differs_since is None:
            self._digest_differs_since = now
        grace_s = OTHER_DOMAIN_DIGEST_GRACE_S if is_other_domain else DIGEST_GRACE_S
        has_waited = now - self._digest_differs_since >= grace_s
        if not replica.is_complete or has_waited or has_newer_configuration:
            await self._start_pull(host, now)

    async def _start_pull(self, host, now):
        if now - self._last_pull_at < DIGEST_GRACE_S:
            return
        self._last_pull_at = now
        await curio.spawn(self._pull_snapshot, host, daemon=True)

    async def _on_updates(self, records, configuration, host, now, arrived_after):
        for _, position, _, _ in records:
            self._feed.note_era(era_of(position), now)
        changed = [
            record
            for record in (
                self._feed.merge_peer_record(
                    key, position, server, now, arrived_after + serves_s
                )
                for key, position, server, serves_s in records
            )
            if record is not None
        ]
        is_configuration_new = False
        if configuration is not None:
            position, raw = configuration
            is_configuration_new = self._feed.merge_configuration(raw, position)
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, f"peer {host}")
            if self.view.is_large:
                await self.send_updates(changed, is_configuration_new, host)

    # Snapshots

    async def handle_request(self, request):
        """Answer a peer's request for a snapshot on the control address."""
        if request.path != SNAPSHOT_PATH or not self._replica.is_complete:
            return HTTPResponse(404)
        now = self._now()
        ends = None
        if request.query == SNAPSHOT_QUERY_WITH_ENDS:
            ends = self._announced_ends(now)
        age_s = self._replica.age_s(now)
        evacuations = self._feed.evacuations.summary(now)
        position, _ = self._feed.shared_position
        return HTTPResponse(
            200, encode_snapshot(self._replica, position, age_s, ends, evacuations)
        )

    async def _pull_snapshot(self, host):
        address = (host, self.settings.control_address[1])
        path = f"{SNAPSHOT_PATH}?{SNAPSHOT_QUERY_WITH_ENDS}"
        asked_at = self._now()
        try:
            async with curio.timeout_after(PULL_TIMEOUT_S):
                client = await HTTPClient.open(address, PULL_TIMEOUT_S)
                try:
                    response = await client.request("GET", path)
                finally:
                    await client.close()
            if response.status != 200:
                return
            snapshot = decode_snapshot(response.body, self._note_invalid_record)
        except (OSError, UpstreamError, DocumentError, curio.TaskTimeout) as exc:
            self._log.warning("snapshot_failed", host=host, error=str(exc))
            return
        await self._apply_snapshot(snapshot, host, asked_at)

    async def _apply_snapshot(self, snapshot, host, asked_at):
        records = snapshot.records
        now = self._now()
        replica = self._replica
        newest = max((position for _, position, _ in records), default=0)
        self._feed.note_era(era_of(max(newest, snapshot.position)), now)
        # First, so that no server of an evacuated domain is used in between.
        self._learn_all_evacuations(
            snapshot.evacuations, snapshot.position, host, now, asked_at, asked_at
        )
        is_configuration_new = self._feed.merge_configuration(
            snapshot.configuration_raw, snapshot.configuration_position
        )
        # Before the records, so that none of these servers is used in between.
        for end in snapshot.ends:
            self._learn_end(end, asked_at)
        keys = {key for key, _, _ in records}
        # A build that reads fewer records than the sender must not remove the others.
        keys.update(snapshot.invalid_keys)
        missing = [
            key
            for key in replica.keys_missing_from(keys, snapshot.position)
            if self._feed.unconfirmed_until(key, now) is None
        ]
        records.extend((key, snapshot.position, None) for key in missing)
        changed = [
            record
            for record in (
                self._feed.merge_peer_record(*record, now) for record in records
            )
            if record is not None
        ]
        if self._has_all_servers(snapshot):
            replica.freshness.note_copy(asked_at - snapshot.age_s)
        self._digest_differs_since = None
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, f"snapshot {host}")
        if is_configuration_new and self.view.local_member.is_active:
            await self.trigger_heartbeat()
        await self._send_missing_ends(snapshot, host, now)

    def _has_all_servers(self, snapshot):
        """Return whether the replica lacks no server that a merged snapshot has.

        A record keeps its position while a server is removed and registered again
        unchanged, if its holder learned of neither. One that is older than the removal
        is not taken over, and then the replica is not as the sender's.
        """
        cursor = self._feed.cursor or 0
        for key, _, server in snapshot.records:
            known = self._replica.record(key)
            if server is None or (known is not None and known.server is not None):
                continue
            if snapshot.position >= (cursor if known is None else known.position):
                return False
        return True

    async def _send_missing_ends(self, snapshot, host, now):
        """Tell a peer the announced ends that its snapshot does not contain.

        A peer whose replica stays newer, as that of the store's reader does, pulls no
        snapshot from here, and the digests would differ for good.
        """
        known = {(end.server_id, end.born_ms) for end in snapshot.ends}
        missing = [
            end
            for end in self._announced_ends(now)
            if (end.server_id, end.born_ms) not in known
        ]
        for end in missing[:REPLY_ENDS]:
            await self._send(encode_end_announcement(end), host, now)


def _sample(members, count):
    """Return up to ``count`` members selected at random."""
    if len(members) <= count:
        return list(members)
    return random.sample(members, max(0, count))


def _exclude(members, others):
    """Return the members that are not among the others."""
    names = {member.name for member in others}
    return [member for member in members if member.name not in names]


def _domain_contacts(members):
    """Return the active members, and a random member of each domain without one."""
    contacts = [member for member in members if member.is_active]
    members_by_domain = {}
    domains_with_active = {member.domain for member in contacts}
    for member in members:
        if member.domain not in domains_with_active:
            members_by_domain.setdefault(member.domain, []).append(member)
    return contacts + [random.choice(group) for group in members_by_domain.values()]
