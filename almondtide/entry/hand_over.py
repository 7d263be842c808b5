"""Hands the calls of an entry that has lost its links to peers, and takes answers."""

import curio

from ..errors import ResultCode
from .answers import error_answer, relayed_answer
from .policy.relaying import RelayDecision, decide_relay, lost_peer_run_count
from .relay import RelayExchange, may_relay

__all__ = ["HandOver"]

# How often it is checked that a peer which runs a call is still alive, in s.
PEER_CHECK_INTERVAL_S = 0.25


class HandOver:
    """Lets peers run calls in place of this entry.

    ``peers`` is a ``RelayPeers``, ``pool`` the ``ConnectionPool``. ``counts`` is a dict
    with the keys "relayed" and "relay_refused". ``allowed_domains(route)`` returns the
    failure domains that a route may use, None for all.
    """

    __slots__ = ("_allowed_domains", "_counts", "_log", "_now", "_peers", "_pool")

    def __init__(self, peers, pool, counts, allowed_domains, now, log):
        self._peers = peers
        self._pool = pool
        self._counts = counts
        self._allowed_domains = allowed_domains
        self._now = now
        self._log = log

    def choose_peer(self, call, tried_names=()):
        """Return the ``Upstream`` of a peer that may run a call, or None."""
        domains = self._allowed_domains(call.route)
        return self._peers.choose(tried_names, self._now(), domains)

    async def run(self, call):
        """Let a peer run a call; return its ``Answer``, or None if none can."""
        tried_names = set()
        refusal = None
        while may_relay(call):
            upstream = self.choose_peer(call, tried_names)
            if upstream is None or self._now() >= call.expires_at:
                break
            name = upstream.server.id
            tried_names.add(name)
            call.relay_names.append(name)
            self._counts["relayed"] += 1
            exchange = call.relay = RelayExchange(call, upstream, self._now)
            await self._pool.send(exchange)
            await self._wait_for_peer(call, exchange)
            call.relay = None
            reply, is_not_run = exchange.reply, exchange.is_not_run
            decision = decide_relay(
                None if reply is None else reply.status, is_not_run, refusal is not None
            )
            if decision is RelayDecision.PASS_ON:
                return relayed_answer(call, reply, is_not_run)
            if decision is RelayDecision.LOST:
                if not exchange.has_ended:
                    await self._pool.close(exchange.connection)
                if exchange.is_written:
                    call.relay_run_count += lost_peer_run_count(
                        call.route.max_servers, call.run_count
                    )
                self._peers.note_failure(name, self._now())
                self._log_relay(call, exchange, exchange.reason or "no answer")
                continue
            self._counts["relay_refused"] += 1
            self._log_relay(call, exchange, f"not run, status {reply.status}")
            if decision is RelayDecision.KEEP_REFUSAL:
                # Requests of several entries may meet at this peer.
                refusal = reply
        if refusal is not None and not call.relay_run_count:
            return relayed_answer(call, refusal, True)
        if call.relay_run_count:
            is_late = self._now() >= call.expires_at
            return error_answer(
                504 if is_late else 502, ResultCode.PEER_LOST, "the peer did not answer"
            )
        return None

    def _log_relay(self, call, exchange, reason):
        """Log that a peer did not run a call."""
        self._log.info(
            "relay_failed",
            id=call.request.id,
            peer=exchange.upstream.server.id,
            written=exchange.is_written,
            reason=reason,
        )

    async def _wait_for_peer(self, call, exchange):
        """Wait until a peer has answered, has failed, or the call has ended."""
        name = exchange.upstream.server.id
        while not exchange.has_ended and not call.is_abandoned:
            now = self._now()
            remaining_s = call.expires_at - now
            if remaining_s <= 0 or not self._peers.is_alive(name, now):
                return
            call.changed.clear()
            async with curio.ignore_after(min(remaining_s, PEER_CHECK_INTERVAL_S)):
                await call.changed.wait()
