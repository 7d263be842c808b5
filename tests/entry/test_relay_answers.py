"""Tests of what becomes of a server's answer that passes through two entries."""

import itertools

import testtools

from almondtide.entry.calls import Call
from almondtide.entry.links import LinkState
from almondtide.entry.relay import PEER_SERVICE, RelayPeers
from almondtide.entry.relay_marks import (
    RELAY_NOT_RUN_HEADER,
    take_relay_mark,
    without_marks,
)
from almondtide.model.http_messages import Request
from almondtide.model.published import Configuration
from almondtide.platform.headers import decode_reply
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import make_call, make_route
from tests.entry.test_dispatch import MemoryPool, _Fleet
from tests.entry.test_relay import PORT, _member, _view

STATUSES = (200, 204, 302, 400, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504)
# By these a caller takes its request for not run, and sends it again.
PROMISES = (408, 421, 429, 503)
# What a server's reply says of itself: nothing, its id, or the id of another server.
NAMES = (None, "own", "other")
MAX_SERVERS = 2
# Time that a peer gives a request, in s, so that two can refuse before its deadline.
PEER_ALLOWED_S = 0.2
PEER_NAMES = ("front-2", "front-3", "front-4")


class _ServerReplies:
    """Servers that all reply alike; counts their runs of the request.

    ``named`` is one of ``NAMES``. A server runs the request unless its reply proves
    that it has not: it says so, or it is another one than the request expects.
    """

    def __init__(self, status, is_not_run, has_stamp, extra_headers=(), named=None):
        self.status = status
        self.is_not_run = is_not_run
        self.has_stamp = has_stamp
        self.extra_headers = extra_headers
        self.named = named
        self.run_count = 0

    @property
    def is_refusal(self):
        return self.is_not_run or (self.status == 421 and self.named == "other")

    def behave(self, exchange):
        headers = [(b"request-id", exchange.request.id.encode()), *self.extra_headers]
        if self.named is not None:
            id = exchange.upstream.server.id if self.named == "own" else "i-other"
            headers.append((b"instance-id", id.encode()))
        if self.is_not_run:
            headers.append((b"not-run", b"1"))
        if not self.is_refusal:
            self.run_count += 1
        if self.has_stamp:
            headers.append((b"server-stamp", b"stamp"))
        return (0.001, decode_reply(self.status, headers, b"body"))


class _LinkedPool(MemoryPool):
    """A pool whose peers are dispatchers of their own."""

    def __init__(self, behave, peers):
        super().__init__(lambda exchange: self._behave_server(behave, exchange))
        self.peers = peers

    @staticmethod
    def _behave_server(behave, exchange):
        is_peer = exchange.upstream.server.service == PEER_SERVICE
        return None if is_peer else behave(exchange)

    async def _serve(self, exchange, outcome):
        if exchange.upstream.server.service != PEER_SERVICE:
            await super()._serve(exchange, outcome)
            return
        exchange.on_write()
        peer = self.peers[exchange.upstream.server.id]
        await exchange.on_reply(await peer.answer(exchange))


class _Peer:
    """An entry that answers what another hands on, as over HTTP."""

    def __init__(self, behave, route, clock, states_marks):
        self.fleet = _Fleet(behave, services=("a",), clock=clock)
        self.route = route
        self.states_marks = states_marks

    async def answer(self, exchange):
        sent = exchange.request
        headers = [*sent.headers, *exchange.extra_headers()]
        request = Request(
            "POST", sent.target, sent.host, sent.id, PEER_ALLOWED_S, headers, b""
        )
        request.relay_mark = take_relay_mark(request)
        configuration = Configuration(1, [self.route])
        now = self.fleet.clock.monotonic()
        call = Call(request, self.route, ("a",), configuration, now)
        answer = await self.fleet.dispatcher.run(call)
        answer.address_to_peer(request.id)
        pairs = [(name.lower(), value) for name, value in answer.headers]
        if not self.states_marks:
            pairs = without_marks(pairs)
        return decode_reply(answer.status, pairs, answer.body)


def _run_call(replies, is_idempotent, has_links, states_marks=True):
    """Run one call at an entry; return its answer.

    Peers of an earlier build do not state marks.
    """
    route = make_route(is_idempotent=is_idempotent, max_servers=MAX_SERVERS)

    clock = VirtualClock()

    async def scenario():
        now = clock.monotonic()
        fleet = _Fleet(replies.behave, services=("a",), clock=clock)
        peers = {
            name: _Peer(replies.behave, route, clock, states_marks)
            for name in PEER_NAMES
        }
        fleet.pool = fleet.dispatcher._pool = _LinkedPool(replies.behave, peers)
        for owner in (fleet, *(peer.fleet for peer in peers.values())):
            await owner.timers.start()
        links = fleet.dispatcher.links
        view = _view(*(_member(name, at=now) for name in PEER_NAMES))
        fleet.dispatcher.set_links(links, RelayPeers(view, links, PORT))
        if not has_links:
            links.state = LinkState.LOST
            links.last_reply_at = now - 1.0
        return await fleet.dispatcher.run(make_call(route, 0.8, now))

    return run_in_virtual_time(scenario, clock=clock)


class RelayedAnswerTest(testtools.TestCase):
    """Guards against a second run, and a false "not run", after a server's answer."""

    def _check(self, replies, is_idempotent, has_links, states_marks=True):
        answer = _run_call(replies, is_idempotent, has_links, states_marks)
        case = (replies.status, replies.is_not_run, replies.has_stamp, replies.named)
        case = (*case, is_idempotent, has_links, answer.status, replies.run_count)
        self.assertTrue(
            replies.run_count <= (MAX_SERVERS if is_idempotent else 1), case
        )
        is_unproven = not has_links and not states_marks
        if replies.is_refusal and not (is_unproven and not is_idempotent):
            # The servers ran nothing, and the entry says so.
            self.assertEqual(503, answer.status, case)
            return
        if replies.status < 300 and not replies.has_stamp:
            # No run stands behind such a success.
            self.assertEqual(502, answer.status, case)
            return
        if not is_idempotent and (replies.is_refusal or replies.status in PROMISES):
            # It has run, or nothing proves that it has not. The answer is the entry's
            # own, so it has nothing of the server's.
            self.assertEqual(502, answer.status, case)
            self.assertNotEqual(b"body", answer.body, case)
            names = {name.lower() for name, _ in answer.headers}
            self.assertFalse(names & {b"server-stamp", b"retry-after"}, case)
            return
        self.assertEqual((replies.status, b"body"), (answer.status, answer.body), case)
        stamps = [value for name, value in answer.headers if name == b"server-stamp"]
        self.assertEqual([b"stamp"] * replies.has_stamp, stamps, case)

    def test_all_statuses_with_and_without_links(self):
        flags = (False, True)
        pause = [(b"retry-after", b"0.5")]
        for (
            status,
            is_not_run,
            has_stamp,
            is_idempotent,
            has_links,
        ) in itertools.product(STATUSES, flags, flags, flags, flags):
            for named in NAMES:
                extra_headers = pause if status in PROMISES else ()
                replies = _ServerReplies(
                    status, is_not_run, has_stamp, extra_headers, named
                )
                self._check(replies, is_idempotent, has_links)

    def test_a_mark_that_a_server_sends_is_not_believed(self):
        # Otherwise a server could have an unsafe request repeated at each peer.
        mark = [(RELAY_NOT_RUN_HEADER, b"1")]
        expected = {200: 200, 404: 404, 503: 502}
        for status, has_links in itertools.product(expected, (False, True)):
            replies = _ServerReplies(status, False, True, mark)
            answer = _run_call(replies, False, has_links)
            self.assertEqual((1, expected[status]), (replies.run_count, answer.status))
            self.assertNotIn(RELAY_NOT_RUN_HEADER, dict(answer.headers))

    def test_an_answer_of_an_earlier_build_is_final(self):
        # It states nothing, so its own refusals are not told from servers' answers, and
        # its statuses prove nothing.
        for status, is_not_run in itertools.product(STATUSES, (False, True)):
            replies = _ServerReplies(status, is_not_run, True)
            self._check(replies, False, False, states_marks=False)
