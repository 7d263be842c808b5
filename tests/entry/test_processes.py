"""End-to-end tests of daemon processes with stand-ins for the store and servers."""

import signal
import tempfile
import time

import curio
import orjson
import testtools

from almondtide.cli_report import summarize_metrics
from almondtide.entry.codec import decode_snapshot
from almondtide.entry.crash_detector import CRASH_LIMIT
from almondtide.entry.merge import merge_records
from almondtide.platform.documents import decode_configuration
from standins.entry_fleet import (
    DRAIN_S,
    METRICS_PORT,
    PORTS,
    SHARDS,
    UNSAFE_SERVICE,
    EntryFleet,
    make_configuration,
    send_request,
)
from standins.shard import make_records
from tests.support import StallMeter, run

# Servers that stall for this long, in s, may seem to be full or down.
SERVER_STALL_S = 0.25
COUNTS = ("answers", "refused", "failed")


class EntryProcessTest(testtools.TestCase):
    """Guards against failures that only a running fleet of daemons shows."""

    def run_scenario(self, scenario, **options):
        async def run_fleet():
            async with EntryFleet(folder, **options) as fleet:
                await scenario(fleet)

        with tempfile.TemporaryDirectory() as folder:
            run(run_fleet, timeout_s=60)

    def test_queries_and_requests_that_may_run_once(self):
        async def scenario(fleet):
            for number in range(3):
                status, headers, body = await fleet.search(number, f"q-{number}")
                self.assertEqual(200, status)
                self.assertEqual("0", headers["missing-parts"])
                self.assertEqual(3, len(headers["part-stamps"].split(",")))
                parts = [make_records(shard, f"q-{number}") for shard in SHARDS]
                self.assertEqual(merge_records(parts, 3), body)
            status, headers, body = await fleet.write(1)
            self.assertEqual((200, b"draft"), (status, body))
            self.assertIn(".w-1", headers["server-stamp"])
            runs = [id for s in fleet.servers.values() for id, _, _ in s.runs]
            self.assertEqual(1, runs.count("w-1"))

        self.run_scenario(scenario)

    def test_directory_returns_entries_of_the_callers_domain_and_metrics(self):
        async def scenario(fleet):
            path = "/v1/resolve?name=search.example&region=r&zone=nadi"
            expected = [f"{fleet.hosts[1]}:{PORTS['front']}"]
            for _ in range(100):
                status, _, body = await fleet.get_from_daemon(0, "directory", path)
                if status == 200 and orjson.loads(body)["addrs"] == expected:
                    break
                await curio.sleep(0.05)
            self.assertEqual(expected, orjson.loads(body)["addrs"])
            self.assertTrue(0 < orjson.loads(body)["ttl_s"] <= 5)
            await fleet.search(0)
            status, _, body = await send_request(
                fleet.hosts[0], METRICS_PORT, "GET", "/metrics", {"host": "x"}
            )
            self.assertIn(b"almondtide_entry_answers", body)
            self.assertIn(b"almondtide_entry_answer_seconds_bucket", body)

        self.run_scenario(scenario)

    def test_metrics_summary_of_running_daemons(self):
        async def scenario(fleet):
            for number in range(2):
                await fleet.search(0, f"q-{number}")
            await curio.sleep(1.5)
            _, _, body = await send_request(
                fleet.hosts[0], METRICS_PORT, "GET", "/metrics", {"host": "x"}
            )
            summary = summarize_metrics(body.decode())
            self.assertEqual((2, 0, 0), tuple(summary[name] for name in COUNTS))
            self.assertEqual((1, 3), (summary["version"], summary["members"]))
            self.assertTrue(summary["carries"] and summary["age_s"] < 3.0, summary)
            calls = []
            for host in fleet.hosts:
                _, _, body = await send_request(
                    host, METRICS_PORT, "GET", "/metrics", {"host": "x"}
                )
                calls.append(summarize_metrics(body.decode())["store_calls"])
            self.assertTrue(sum(calls) > 0, calls)

        self.run_scenario(scenario)

    def test_configuration_and_drain_reach_all_daemons(self):
        async def scenario(fleet):
            await fleet.store.put("op/config", make_configuration(version=9, routes=[]))
            end = time.monotonic() + 3.0
            for number in range(3):
                while (await fleet.search(number))[0] != 404:
                    self.assertTrue(time.monotonic() < end)
                    await curio.sleep(0.02)
            await fleet.store.put("op/config", make_configuration(version=10))
            id = next(id for id in fleet.servers if "drafts" in id)
            server = fleet.servers[id]
            await fleet.register(id, "draining")
            await curio.sleep(3.0)
            server.runs.clear()
            for number in range(9):
                self.assertEqual(200, (await fleet.write(number % 3, f"w-{number}"))[0])
            self.assertEqual([], server.runs)

        self.run_scenario(scenario)

    def test_requests_are_answered_while_the_store_is_unavailable(self):
        async def scenario(fleet):
            for mode in ("busy", "silent", "reset"):
                fleet.store.mode = mode
                await curio.sleep(1.5)
                for number in range(3):
                    self.assertEqual(200, (await fleet.search(number))[0])
                fleet.store.mode = "normal"
            fleet.store.drop_history()
            await fleet.store.put(
                "op/config", make_configuration(version=12, routes=[])
            )
            end = time.monotonic() + 5.0
            while (await fleet.search(1))[0] != 404:
                self.assertTrue(time.monotonic() < end)
                await curio.sleep(0.02)

        self.run_scenario(scenario)

    def test_a_restored_store_takes_nothing_back(self):
        async def scenario(fleet):
            store = fleet.store
            copy = store.copy()
            # Lost with the restoration: a version, a drain and a new server.
            await store.put("op/config", make_configuration(4))
            drained = next(id for id in fleet.servers if "shard-1" in id)
            await fleet.register(drained, "draining")
            added = await fleet.add_server("shard-1")
            await curio.sleep(2.0)
            await store.restore(copy)
            await curio.sleep(1.5)
            before = len(fleet.servers[drained].runs)
            versions = []
            for number in range(3):
                for query in range(20):
                    status, headers, _ = await fleet.search(number, f"q-{query}")
                    self.assertEqual((200, "0"), (status, headers["missing-parts"]))
                _, _, body = await fleet.get_from_daemon(number, "control", "/snapshot")
                versions.append(decode_snapshot(body).configuration_raw)
            # Its drain time is over, and only the copy lists it as ready.
            self.assertEqual(before, len(fleet.servers[drained].runs))
            self.assertTrue(fleet.servers[added].runs)
            for raw in versions:
                self.assertEqual(4, decode_configuration(raw).version)

        self.run_scenario(scenario)

    def test_an_announced_end_holds_over_a_freeze_and_without_the_store(self):
        async def scenario(fleet):
            server = next(s for id, s in fleet.servers.items() if "shard-1" in id)
            others = [
                one
                for one in fleet.servers.values()
                if one.service == server.service and one is not server
            ]
            for query in range(30):
                await fleet.search(0, f"a-{query}")
            server.is_leaving = True
            for other in others:
                # Turned away elsewhere, so that the leaving server is used.
                other.away_until = time.monotonic() + 1.0
            for query in range(10):
                await fleet.search(0, f"b-{query}")
            self.assertTrue(server.announcements)
            fleet.store.mode = "silent"
            process = fleet.processes[0]
            process.send_signal(signal.SIGSTOP)
            await curio.sleep(DRAIN_S)
            process.send_signal(signal.SIGCONT)
            await curio.sleep(0.2)
            before = len(server.runs)
            for number in range(3):
                for query in range(20):
                    await fleet.search(number, f"c-{number}-{query}")
            self.assertEqual(before, len(server.runs))

        self.run_scenario(scenario)

    def test_a_fleet_that_does_not_start_leaves_no_process(self):
        fleets = []

        async def scenario():
            with tempfile.TemporaryDirectory() as folder:
                fleet = EntryFleet(folder, daemons=2, argv=["-c", "import time"])
                fleets.append(fleet)
                fleet.wait_until_ready = self._fail_to_wait
                async with fleet:
                    pass

        with testtools.ExpectedException(AssertionError):
            run(scenario)
        for process in fleets[0].processes.values():
            self.assertIsNotNone(process.poll())

    async def _fail_to_wait(self, number):
        raise AssertionError("not ready")

    def test_planned_stop_answers_received_requests(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.service_time_s = 0.4
            tasks = [
                await curio.spawn(fleet.write, 0, f"w-{number}") for number in range(4)
            ]
            await curio.sleep(0.1)
            fleet.processes[0].send_signal(signal.SIGTERM)
            answers = [await task.join() for task in tasks]
            self.assertEqual([200] * 4, [status for status, _, _ in answers])
            status, _, _ = await fleet.get_from_daemon(0, "readiness", "/v1/ready")
            self.assertEqual(503, status)
            code = await curio.run_in_thread(fleet.processes[0].wait, 3.0)
            self.assertEqual(0, code)
            for name in ("stopping", "stopped"):
                self.assertIn(f"event={name} ", fleet.read_log(0))

        self.run_scenario(scenario)

    def test_planned_stop_refuses_late_writes_that_it_would_cut(self):
        # They ran, and were ended with the process with an unknown outcome.
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.service_time_s = 1.2
            warm = [
                await curio.spawn(
                    lambda n=n: fleet.write(0, f"w-{n}", deadline_ms=9000)
                )
                for n in range(2)
            ]
            self.assertEqual([200, 200], [(await task.join())[0] for task in warm])
            fleet.processes[0].send_signal(signal.SIGTERM)
            early = await curio.spawn(lambda: fleet.write(0, "early", deadline_ms=9000))
            await curio.sleep(1.6)
            status, headers, _ = await fleet.write(0, "late", deadline_ms=9000)
            self.assertEqual(503, status)
            self.assertIn("retry-after", headers)
            self.assertEqual(200, (await early.join())[0])
            ran = {id for server in fleet.servers.values() for id, _, _ in server.runs}
            self.assertIn("early", ran)
            self.assertNotIn("late", ran)

        self.run_scenario(scenario)

    def test_planned_stop_gives_a_final_answer_to_slow_requests(self):
        # Requests that still ran at the end of the grace time got no answer (soak,
        # seed 12).
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.service_time_s = 20.0
            kinds = (fleet.search, fleet.write)
            tasks = [
                await curio.spawn(
                    lambda k=kind: k(0, f"{k.__name__}-1", deadline_ms=9000)
                )
                for kind in kinds
            ]
            await curio.sleep(0.1)
            fleet.processes[0].send_signal(signal.SIGTERM)
            await curio.sleep(1.0)
            for task in tasks:
                self.assertEqual(504, (await task.join())[0])

        self.run_scenario(scenario)

    def check_refusals(self, fleet, refusals, stall_s):
        """Check that requests were refused only during a stall, and have not run.

        ``refusals`` holds (request id, response) of requests without status 200.
        ``stall_s`` is the longest stall of this process, which runs the servers.
        """
        if stall_s < SERVER_STALL_S:
            self.assertEqual([], refusals)
        run_ids = {id for server in fleet.servers.values() for id, _, _ in server.runs}
        for id, (status, headers, body) in refusals:
            self.assertEqual(503, status, body)
            self.assertIn("retry-after", headers)
            self.assertNotIn(id, run_ids)

    def test_refusals_while_all_servers_stall_are_true(self):
        async def scenario(fleet):
            tasks = []

            async def call_for(duration_s):
                end = time.monotonic() + duration_s
                while time.monotonic() < end:
                    id = f"q-{len(tasks)}"
                    search = curio.spawn(fleet.search, 0, id, daemon=True)
                    tasks.append((id, await search))
                    await curio.sleep(0.02)

            await call_for(0.3)
            # Stops the servers as well, and the callers' requests come in one burst.
            time.sleep(2 * SERVER_STALL_S)
            await call_for(0.3)
            await curio.sleep(1.0)
            settled_from = len(tasks)
            meter = StallMeter()
            await curio.spawn(meter.run, daemon=True)
            await call_for(0.3)
            answers = [(id, await task.join()) for id, task in tasks]
            refusals = [item for item in answers if item[1][0] != 200]
            self.check_refusals(fleet, refusals, SERVER_STALL_S)
            settled = [item for item in answers[settled_from:] if item in refusals]
            self.check_refusals(fleet, settled, meter.longest_s)

        self.run_scenario(scenario)

    def test_planned_stop_while_callers_keep_connecting(self):
        # A connection accepted while the tasks were cancelled made the exit fail: the
        # process ended with status 1, and a request got no answer (soak, seed 12).
        async def scenario(fleet):
            seen = {"answered": 0, "refused": 0}
            refusals = []
            meter = StallMeter()
            await curio.spawn(meter.run, daemon=True)

            async def keep_calling(number):
                while fleet.processes[0].poll() is None:
                    id = f"q-{number}-{time.monotonic()}"
                    try:
                        answer = await fleet.search(0, id)
                    except OSError:
                        seen["refused"] += 1
                        continue
                    seen["answered"] += 1
                    if answer[0] != 200:
                        refusals.append((id, answer))

            tasks = [await curio.spawn(keep_calling, number) for number in range(6)]
            await curio.sleep(0.3)
            fleet.processes[0].send_signal(signal.SIGTERM)
            for task in tasks:
                await task.join()
            self.check_refusals(fleet, refusals, meter.longest_s)
            self.assertEqual(0, fleet.processes[0].returncode)
            self.assertTrue(seen["answered"] > 50 and seen["refused"] > 0, seen)
            for text in ("Traceback", "connection_failed"):
                self.assertNotIn(text, fleet.read_log(0))

        self.run_scenario(scenario)

    def test_sighup_reloads_the_settings_without_breaking_requests(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.service_time_s = 0.3
            task = await curio.spawn(fleet.write, 0)
            await curio.sleep(0.05)
            fleet.processes[0].send_signal(signal.SIGHUP)
            self.assertEqual(200, (await task.join())[0])
            self.assertIn("event=reloaded", fleet.read_log(0))
            self.assertIsNone(fleet.processes[0].poll())

        self.run_scenario(scenario)

    def test_restarted_daemon_gets_the_replica_of_its_peers(self):
        async def scenario(fleet):
            fleet.store.mode = "busy"
            fleet.processes[1].kill()
            fleet.processes[1].wait()
            fleet.start_daemon(1)
            await fleet.wait_until_ready(1)
            self.assertEqual(200, (await fleet.search(1))[0])

        self.run_scenario(scenario)

    def test_a_restarted_daemon_does_not_use_a_server_that_announced_its_end(self):
        # The store never reports the end; only replies did, before the restart.
        async def scenario(fleet):
            server = next(s for id, s in fleet.servers.items() if "shard-1" in id)
            others = [
                one
                for one in fleet.servers.values()
                if one.service == server.service and one is not server
            ]
            server.is_leaving = True
            for other in others:
                other.away_until = time.monotonic() + 1.0
            for query in range(10):
                await fleet.search(0, f"a-{query}")
            self.assertTrue(server.announcements)
            await curio.sleep(DRAIN_S)
            fleet.processes[1].kill()
            fleet.processes[1].wait()
            fleet.start_daemon(1)
            await fleet.wait_until_ready(1)
            await curio.sleep(0.3)
            for other in others:
                other.away_until = time.monotonic() + 1.0
            before = len(server.runs)
            for query in range(20):
                await fleet.search(1, f"b-{query}")
            self.assertEqual(before, len(server.runs))

        self.run_scenario(scenario)

    def test_work_ends_when_the_caller_closes_its_connection(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.service_time_s = 2.0
            sock = await curio.open_connection(fleet.hosts[0], PORTS["front"])
            await sock.sendall(
                b"GET /search/x HTTP/1.1\r\nHost: search.example\r\n"
                b"Request-Id: q-9\r\nDeadline-Ms: 3000\r\n\r\n"
            )
            await curio.sleep(0.1)
            await sock.close()
            await curio.sleep(0.4)
            self.assertEqual(
                0, sum(server.running_count for server in fleet.servers.values())
            )

        self.run_scenario(scenario)

    def test_a_request_that_crashes_servers_is_refused_by_all_daemons(self):
        async def scenario(fleet):
            servers = [s for s in fleet.servers.values() if s.service == UNSAFE_SERVICE]
            for server in servers:
                server.should_crash = lambda request: request.body == b"crash"
            # Wait until all daemons know each other.
            await curio.sleep(1.5)
            statuses = []
            for number in range(9):
                status, _, body = await fleet.write(number % 3, f"c-{number}", b"crash")
                statuses.append(status)
                for other in range(8):
                    await fleet.write(number % 3, f"w-{number}-{other}", b"draft")
            crashed = [s for s in servers if any(r[0][:1] == "c" for r in s.runs)]
            self.assertEqual(CRASH_LIMIT, len(crashed), statuses)
            self.assertEqual([503] * 6, statuses[CRASH_LIMIT:])
            self.assertIn(b"QUARANTINED", body)
            status, _, _ = await fleet.write(0, "w-last", b"draft")
            self.assertEqual(200, status)

        self.run_scenario(scenario, servers=6)

    def test_invalid_requests_get_answers_with_result_codes(self):
        async def scenario(fleet):
            host = {"host": "write.example", "request-id": "w-1"}
            front = (fleet.hosts[0], PORTS["front"])
            status, _, body = await send_request(
                *front, "POST", "/write/x", host, b"x" * 2000
            )
            self.assertEqual((413, 102), (status, orjson.loads(body)["code"]))
            status, _, body = await send_request(*front, "GET", "/none/", host)
            self.assertEqual((404, 106), (status, orjson.loads(body)["code"]))
            status, _, _ = await send_request(*front, "GET", "/write/x", {"host": "h"})
            self.assertEqual(400, status)
            sock = await curio.open_connection(*front)
            await sock.sendall(b"\x00\x01\r\n\r\n")
            self.assertTrue((await sock.recv(100)).startswith(b"HTTP/1.1 400"))
            await sock.close()
            self.assertEqual(200, (await fleet.search(0))[0])

        self.run_scenario(scenario)
