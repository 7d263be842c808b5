"""Tests of the distribution of documents between daemon processes."""

import concurrent.futures
import signal
import tempfile
import time

import testtools

from standins.fleet import Fleet, FleetSpec, free_ports, http_call

IN_FORCE_LIMIT_S = 7.0
WORKLOADS = {"advisory": {"services": 1, "servers": 1, "slots": 3, "kind": "probes"}}


class ProcessTest(testtools.TestCase):
    """Base class for tests that start a small fleet."""

    def start(self, daemons=4, domains=("sala-norte", "sala-sur"), platforms=None):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        spec = FleetSpec(daemons=daemons, domains=domains, workloads=WORKLOADS)
        fleet = Fleet(spec, directory.name)
        # Replaces the address of the platform for some links, by name of the link.
        fleet.link_addresses.update(platforms or {})
        self.addCleanup(fleet.stop)
        fleet.start()
        return fleet

    def publish(self, fleet, budget):
        fleet.configuration["defaults"] = {"hedge_budget": budget}
        return fleet.publish("configuration", fleet.configuration)

    def revision(self, fleet, name):
        return fleet.read_admin_report(name, "status")["configuration_revision"]

    def wait_until(self, condition, limit_s=IN_FORCE_LIMIT_S):
        deadline = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition was not met")
            time.sleep(0.05)

    def wait_in_force(self, fleet, revision):
        self.wait_until(
            lambda: all(self.revision(fleet, n) == revision for n in fleet.daemons)
        )

    def events(self, fleet, name, event):
        events = fleet.read_admin_report(name, "events")["events"]
        return [item["fields"] for item in events if item["event"] == event]


class PlatformFaultTest(ProcessTest):
    """Guards against reverts and delays when the platform is down or stale."""

    def test_stale_platform_does_not_revert_the_configuration(self):
        """A restarted daemon must never put the stale revision into force."""
        fleet = self.start()
        revision = self.publish(fleet, 0.04)
        self.wait_in_force(fleet, revision)
        fleet.control_platform({"mode": "stale", "as_of": {"configuration": 1}})
        fleet.kill("entry-01")
        fleet.start_daemon("entry-01")
        fleet.wait_ready("entry-01")
        seen = self.events(fleet, "entry-01", "document_in_force")
        revisions = [
            item["revision"] for item in seen if item["document"] == "configuration"
        ]
        self.assertEqual([revision], revisions)

    def test_daemon_restarts_while_the_platform_is_down(self):
        fleet = self.start()
        revision = self.publish(fleet, 0.04)
        self.wait_in_force(fleet, revision)
        fleet.control_platform({"mode": "down"})
        fleet.kill("entry-02")
        fleet.start_daemon("entry-02")
        fleet.wait_ready("entry-02")
        self.assertEqual(revision, self.revision(fleet, "entry-02"))
        fleet.control_platform({"mode": "normal"})
        self.wait_in_force(fleet, self.publish(fleet, 0.03))

    def test_failure_domain_without_platform(self):
        """Daemons without the platform get documents from the other domain."""
        (port,) = free_ports(1)
        # Daemons are assigned to the two domains in turn.
        names = ("platform/entry-01", "platform/entry-03")
        fleet = self.start(platforms=dict.fromkeys(names, f"127.0.0.1:{port}"))
        domains = {fleet.daemons[name[9:]]["domain"] for name in names}
        self.assertEqual({"sala-sur"}, domains)
        self.wait_in_force(fleet, self.publish(fleet, 0.04))


class PublishTest(ProcessTest):
    """Guards against daemons that disagree after concurrent or bad publishes."""

    def test_concurrent_publishes_by_two_operators(self):
        fleet = self.start(daemons=3)
        budgets = [number / 100 for number in range(1, 11)]

        def publish(budget):
            body = {**fleet.configuration, "defaults": {"hedge_budget": budget}}
            return fleet.publish("configuration", body)

        with concurrent.futures.ThreadPoolExecutor(2) as operators:
            last = max(operators.map(publish, budgets))
        self.wait_in_force(fleet, last)
        reports = [
            fleet.read_admin_report(name, "configuration") for name in fleet.daemons
        ]
        self.assertEqual(1, len({report["digest"] for report in reports}))
        self.assertEqual([[]] * 3, [report["conflicts"] for report in reports])

    def test_invalid_revision_is_reported_and_the_next_one_accepted(self):
        fleet = self.start(daemons=3)
        bad = self.publish(fleet, 2)
        self.wait_until(
            lambda: any(
                fleet.read_admin_report(name, "configuration")["rejected"]
                for name in fleet.daemons
            )
        )
        self.assertEqual({1}, {self.revision(fleet, name) for name in fleet.daemons})
        self.wait_in_force(fleet, self.publish(fleet, 0.03))
        self.assertEqual(2, bad)


class LifecycleTest(ProcessTest):
    """Guards against outdated state at the start and after a restart or a pause."""

    def test_not_ready_without_peer_and_platform(self):
        """Callers get a result code and the time after which to retry."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = Fleet(FleetSpec(workloads=WORKLOADS), directory.name)
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        fleet.control_platform({"mode": "down"})
        fleet.add_daemon("entry-00")
        caller = fleet.daemons["entry-00"]["caller"]
        self.wait_until(lambda: self.is_reachable(caller))
        self.assertEqual(503, http_call(caller, "GET", "/v1/health")[0])
        path = "/v1/workloads/advisory/query"
        status, _, answer = http_call(caller, "POST", path, {})
        self.assertEqual((503, "NOT_READY"), (status, answer["name"]))
        self.assertTrue(answer["not_run"])
        self.assertGreater(answer["retry_after_ms"], 0)
        fleet.control_platform({"mode": "normal"})
        fleet.publish("configuration", fleet._make_configuration())
        fleet.publish_instances()
        fleet.wait_ready("entry-00")

    def is_reachable(self, address):
        try:
            return http_call(address, "GET", "/v1/health")[0] in (200, 503)
        except OSError:
            return False

    def entries(self, fleet, name):
        answer = http_call(fleet.daemons[name]["caller"], "GET", "/v1/entries")[2]
        return {entry["instance"] for entry in answer.get("entries", [])}

    def test_restart_is_noticed_without_a_change_of_the_list(self):
        fleet = self.start(daemons=3)
        fleet.send_signal("entry-01", signal.SIGTERM)
        self.wait_until(lambda: "entry-01" not in self.entries(fleet, "entry-00"), 2)
        fleet.kill("entry-01")
        fleet.start_daemon("entry-01")
        fleet.wait_ready("entry-01")
        self.wait_until(lambda: "entry-01" in self.entries(fleet, "entry-00"), 2)

    def test_paused_daemon_updates_documents_before_new_work(self):
        """The first answer after the pause must not use the old revision."""
        fleet = self.start(daemons=3)
        fleet.send_signal("entry-01", signal.SIGSTOP)
        revision = self.publish(fleet, 0.04)
        time.sleep(1.0)
        fleet.send_signal("entry-01", signal.SIGCONT)
        self.wait_until(lambda: self.entries(fleet, "entry-01"), 2)
        self.assertEqual(revision, self.revision(fleet, "entry-01"))
        self.assertTrue(self.events(fleet, "entry-01", "documents_checked"))
