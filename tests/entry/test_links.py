"""Tests of the evidence by which an entry tells that it has lost its links."""

import testtools

from almondtide.entry.links import (
    CONNECT_FAILURE_LIFETIME_S,
    EVIDENCE_MARGIN_S,
    LOST_PROBE_INTERVAL_S,
    MIN_FAILING_SERVERS,
    PROVEN_INTERVAL_S,
    ROUNDS_UNTIL_BACK,
    SUSPECT_AFTER_S,
    SUSPECT_PROBE_INTERVAL_S,
    UNKNOWN_AFTER_S,
    LinkMonitor,
    LinkState,
)

SERVERS = ("i-1", "i-2", "i-3")
PEERS = {"front-2"}


def _silent_monitor(now=10.0):
    """Return a monitor whose servers are all silent since ``now``."""
    monitor = LinkMonitor(0.0)
    monitor.note_reply(now)
    return monitor


def _probe_all_fail(monitor, now, is_active=True, peers=PEERS):
    return monitor.on_probed(False, peers, is_active, now)


class SuspicionTest(testtools.TestCase):
    """Guards against probes while servers reply, and against none when all fail."""

    def test_silence_of_several_servers(self):
        monitor = _silent_monitor()
        self.assertFalse(monitor.is_suspect(SERVERS, 10.0 + SUSPECT_AFTER_S - 0.01))
        self.assertTrue(monitor.is_suspect(SERVERS, 10.0 + SUSPECT_AFTER_S))
        self.assertFalse(monitor.is_suspect(SERVERS[1:], 11.0))

    def test_one_reply_ends_the_suspicion(self):
        monitor = _silent_monitor()
        for server in SERVERS:
            monitor.note_failure(server, False, 10.1)
        self.assertTrue(monitor.is_suspect((), 10.5))
        monitor.note_reply(10.6)
        self.assertFalse(monitor.is_suspect((), 11.5))

    def test_an_idle_entry_is_not_suspect(self):
        self.assertFalse(_silent_monitor().is_suspect((), 1000.0))

    def test_refused_connections_beside_replies(self):
        monitor = _silent_monitor()
        for number in range(MIN_FAILING_SERVERS):
            monitor.note_reply(10.0 + number / 10)
            monitor.note_failure(f"i-{number}", True, 10.0 + number / 10)
        monitor.note_reply(10.3)
        self.assertTrue(monitor.is_suspect((), 10.3))
        later = 10.3 + CONNECT_FAILURE_LIFETIME_S
        self.assertFalse(monitor.is_suspect((), later))

    def test_a_call_that_no_server_can_take(self):
        monitor = _silent_monitor()
        monitor.note_unserved(True, 10.1)
        self.assertTrue(monitor.is_suspect((), 10.1))
        self.assertFalse(monitor.is_suspect((), 10.1 + SUSPECT_PROBE_INTERVAL_S + 0.1))

    def test_a_call_for_which_the_open_connections_are_too_few(self):
        monitor = _silent_monitor()
        monitor.note_reply(10.1)
        monitor.note_unserved(False, 10.1)
        self.assertFalse(monitor.is_suspect((), 10.1))
        monitor.note_failure("i-1", True, 10.2)
        monitor.note_reply(10.2)
        monitor.note_unserved(False, 10.2)
        self.assertTrue(monitor.is_suspect((), 10.2))

    def test_a_connection_that_opens_ends_the_suspicion(self):
        monitor = _silent_monitor()
        for server in SERVERS:
            monitor.note_failure(server, True, 10.1)
        monitor.note_connected()
        monitor.note_reply(10.2)
        self.assertFalse(monitor.is_suspect((), 10.3))

    def test_probes_are_spaced(self):
        monitor = _silent_monitor()
        self.assertTrue(monitor.should_probe(SERVERS, 11.0))
        self.assertFalse(monitor.should_probe(SERVERS, 11.1))
        self.assertTrue(monitor.should_probe(SERVERS, 11.0 + SUSPECT_PROBE_INTERVAL_S))

    def test_an_idle_entry_probes_when_a_peer_has_lost_its_links(self):
        monitor = _silent_monitor()
        self.assertFalse(monitor.should_probe((), 12.0))
        monitor.note_peer("front-2", None, True, 12.0)
        self.assertTrue(monitor.should_probe((), 12.0))
        monitor.on_probed(True, PEERS, False, 12.1)
        self.assertFalse(monitor.should_probe((), 12.1 + PROVEN_INTERVAL_S - 0.1))
        monitor.note_peer("front-2", 12.0, False, 12.2)
        self.assertFalse(monitor.should_probe((), 14.0))

    def test_an_entry_with_replies_does_not_probe_for_a_peer(self):
        monitor = _silent_monitor(now=12.0)
        monitor.note_peer("front-2", None, True, 12.0)
        self.assertFalse(monitor.should_probe((), 12.0 + UNKNOWN_AFTER_S - 0.1))


class LossTest(testtools.TestCase):
    """Guards against taking ill servers for lost links, and the other way round."""

    def test_probes_fail_while_servers_serve_a_peer(self):
        monitor = _silent_monitor()
        monitor.note_peer("front-2", 10.5, False, 10.5)
        self.assertTrue(_probe_all_fail(monitor, 10.6))
        self.assertTrue(monitor.is_lost)

    def test_servers_that_fail_for_all_entries(self):
        monitor = _silent_monitor()
        # The last replies were on their way when the failures began here.
        monitor.note_peer("front-2", 10.0 + EVIDENCE_MARGIN_S / 2, False, 10.1)
        _probe_all_fail(monitor, 10.6)
        self.assertIs(LinkState.FAILING, monitor.state)
        # Peers may try its requests, but callers are not sent elsewhere.
        self.assertTrue(monitor.is_failing)
        self.assertFalse(monitor.is_lost)

    def test_evidence_that_comes_later(self):
        monitor = _silent_monitor()
        _probe_all_fail(monitor, 10.6)
        self.assertFalse(monitor.is_lost)
        self.assertTrue(monitor.should_probe((), 11.0))
        monitor.note_peer("front-2", 10.9, False, 11.0)
        self.assertTrue(_probe_all_fail(monitor, 11.3))
        self.assertTrue(monitor.is_lost)

    def test_servers_that_are_back_for_all_entries(self):
        monitor = _silent_monitor()
        _probe_all_fail(monitor, 10.6)
        self.assertTrue(monitor.on_probed(True, PEERS, True, 11.0))
        self.assertIs(LinkState.UP, monitor.state)

    def test_a_peer_that_is_gone_proves_nothing(self):
        monitor = _silent_monitor()
        monitor.note_peer("front-3", 10.5, False, 10.5)
        _probe_all_fail(monitor, 10.6)
        _probe_all_fail(monitor, 10.6, peers=set())
        self.assertIs(LinkState.FAILING, monitor.state)

    def test_a_probe_that_is_accepted_proves_the_links(self):
        monitor = _silent_monitor()
        monitor.note_peer("front-2", 10.5, False, 10.5)
        self.assertFalse(monitor.on_probed(True, PEERS, True, 10.6))
        self.assertFalse(monitor.is_lost)
        self.assertFalse(monitor.should_probe(SERVERS, 10.7))

    def test_new_connections_fail_beside_open_ones_that_work(self):
        monitor = _silent_monitor()
        for server in SERVERS:
            monitor.note_failure(server, True, 10.1)
        monitor.note_reply(10.5)
        monitor.note_peer("front-2", 10.4, False, 10.5)
        self.assertTrue(_probe_all_fail(monitor, 10.6))

    def test_an_entry_without_callers_needs_no_evidence(self):
        monitor = _silent_monitor()
        _probe_all_fail(monitor, 12.0, is_active=True)
        self.assertFalse(monitor.is_lost)
        _probe_all_fail(monitor, 12.0, is_active=False)
        self.assertTrue(monitor.is_lost)

    def test_links_are_back_after_several_rounds(self):
        monitor = _silent_monitor()
        monitor.note_peer("front-2", 10.5, False, 10.5)
        _probe_all_fail(monitor, 10.6)
        now = 11.0
        self.assertFalse(monitor.on_probed(True, PEERS, False, now))
        self.assertFalse(monitor.on_probed(False, PEERS, False, now))
        for _ in range(ROUNDS_UNTIL_BACK - 1):
            self.assertFalse(monitor.on_probed(True, PEERS, False, now))
        self.assertTrue(monitor.on_probed(True, PEERS, False, now))
        self.assertFalse(monitor.is_lost)

    def test_lost_links_are_probed_without_any_traffic(self):
        monitor = _silent_monitor()
        monitor.note_peer("front-2", 10.5, False, 10.5)
        monitor.should_probe(SERVERS, 10.5)
        _probe_all_fail(monitor, 10.6)
        self.assertTrue(monitor.should_probe((), 11.0))
        self.assertFalse(monitor.should_probe((), 11.0 + LOST_PROBE_INTERVAL_S - 0.1))
        self.assertTrue(monitor.should_probe((), 11.0 + LOST_PROBE_INTERVAL_S))

    def test_no_reply_at_all_yet(self):
        monitor = LinkMonitor(5.0)
        self.assertIsNone(monitor.reply_age_s(6.0))
        monitor.note_reply(6.0)
        self.assertEqual(1.0, monitor.reply_age_s(7.0))
