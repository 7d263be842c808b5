"""End-to-end tests of two builds of the entry side by side.

One runs the code of an earlier commit, from this repository's history. It stands for
the machines that are not replaced yet.
"""

import functools
import io
import os
import pathlib
import shutil
import subprocess
import sys
import tarfile
import tempfile
import time

import curio
import testtools

from almondtide.adapters.http import HTTPResponse
from almondtide.entry.crash_detector import CRASH_LIMIT
from standins.entry_fleet import UNSAFE_SERVICE, EntryFleet, make_configuration
from tests.support import run

REPOSITORY = pathlib.Path(__file__).parents[2]
# A build that marks requests that it hands on, and names no abilities.
OLD_COMMIT = "a59c673"
# The last build without the mark.
UNMARKED_COMMIT = "5c5840b"
# Time for a change to reach the other daemon, in s.
CHANGE_TIMEOUT_S = 6.0
# Part of a daemon's log that a failure shows, in bytes.
LOGGED_BYTES = 8000
# Longer than the time between two heartbeats of an active entry, in s.
HEARTBEAT_WAIT_S = 0.8
PARTITIONED_ENTRY = ["-m", "standins.partitioned_entry"]

# Commit -> folder, for the tests of one process.
_builds = {}


def extract_build(commit):
    """Return a folder with the code of a commit; raises AssertionError without it."""
    if commit not in _builds:
        archive = subprocess.run(
            ["git", "archive", "--format=tar", commit, "almondtide", "standins"],
            cwd=REPOSITORY,
            capture_output=True,
            check=False,
        )
        if archive.returncode:
            raise AssertionError(
                f"commit {commit}, which this test runs beside the working tree, is "
                "not in the history of this clone; fetch the whole history "
                f"(git fetch --unshallow): {archive.stderr.decode().strip()}"
            )
        folder = tempfile.mkdtemp(prefix=f"build-{commit}-")
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
            tar.extractall(folder, filter="data")
        _builds[commit] = folder
    return _builds[commit]


class BuildTest(testtools.TestCase):
    """Guards against tests that pass because both daemons run the same code."""

    def test_a_daemon_of_the_old_build_loads_its_own_code(self):
        folder = extract_build(OLD_COMMIT)
        code = "import almondtide.entry.gossip as g; print(g.__file__)"
        found = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONPATH": folder},
            cwd=folder,
            capture_output=True,
            check=True,
        )
        self.assertTrue(found.stdout.decode().startswith(folder), found.stdout)

    def test_a_commit_that_the_history_lacks_is_named(self):
        with testtools.ExpectedException(AssertionError, ".*commit 0000000.*fetch.*"):
            extract_build("0000000")


def tearDownModule():
    while _builds:
        shutil.rmtree(_builds.popitem()[1])


class TwoBuildsTestCase(testtools.TestCase):
    """Runs scenarios with two daemons of different builds.

    ``sender`` is the number of the daemon whose messages a scenario is about, and
    which alone reaches the store. ``receiver`` is the other one's.
    """

    sender, receiver = 0, 1

    def run_scenario(
        self,
        scenario,
        sender_is_old,
        commit=OLD_COMMIT,
        old_argv=PARTITIONED_ENTRY,
        **options,
    ):
        old_number = self.sender if sender_is_old else self.receiver
        old_build = (extract_build(commit), old_argv)

        async def run_fleet():
            async with EntryFleet(
                folder,
                daemons=2,
                argv=PARTITIONED_ENTRY,
                builds={old_number: old_build},
                store_readers={self.sender},
                **options,
            ) as fleet:
                await scenario(fleet)

        with tempfile.TemporaryDirectory() as folder:
            run(run_fleet, timeout_s=60)

    async def wait_for(self, description, check, *args):
        """Wait until ``check(*args)``, an async function, returns a true value."""
        end = time.monotonic() + CHANGE_TIMEOUT_S
        while not (found := await check(*args)):
            if time.monotonic() > end:
                self.fail(description() if callable(description) else description)
            await curio.sleep(0.05)
        return found

    async def wait_for_log(self, fleet, number, *parts):
        """Wait until a line of a daemon's log contains all parts; return it."""

        async def find():
            lines = fleet.read_log(number).splitlines()
            return next((line for line in lines if all(p in line for p in parts)), None)

        def describe():
            log = fleet.read_log(number)[-LOGGED_BYTES:]
            return f"daemon {number} logs {parts}; its log ends with:\n{log}"

        return await self.wait_for(describe, find)

    async def wait_for_membership(self, fleet):
        for number in (0, 1):
            other = f"member=front-{1 - number}"
            ready = "state=READY"
            await self.wait_for_log(fleet, number, "member_news", other, ready)


class MessagesTestCase:
    """Scenarios for one direction; ``sender_is_old`` is set by the classes below."""

    def run_here(self, scenario, **options):
        self.run_scenario(scenario, self.sender_is_old, **options)

    def assert_all_understood(self, fleet):
        for number in (0, 1):
            log = fleet.read_log(number)
            for event in ("datagram_invalid", "datagram_failed", "snapshot_failed"):
                self.assertNotIn(f"event={event} ", log)

    def test_snapshot_heartbeat_and_update(self):
        async def scenario(fleet):
            # The receiver does not reach the store. Both have just started, and it may
            # have got the first read as an update, so it starts again.
            await fleet.wait_until_ready(self.sender)
            fleet.processes[self.receiver].kill()
            await curio.run_in_thread(fleet.processes[self.receiver].wait)
            fleet.start_daemon(self.receiver)
            await fleet.wait_until_ready(self.receiver)
            log = fleet.read_log(self.receiver).rpartition("event=started ")[2]
            in_force = [line for line in log.splitlines() if "_in_force " in line]
            source = f'source="snapshot {fleet.hosts[self.sender]}"'
            self.assertEqual([True], [source in line for line in in_force], log)
            await self.wait_for_membership(fleet)
            self.assertEqual(200, (await fleet.search(self.receiver))[0])
            configuration = make_configuration(version=9)
            configuration["routes"][0]["prefix"] = "/other/"
            await fleet.store.put("op/config", configuration)
            source = f'source="peer {fleet.hosts[self.sender]}"'
            await self.wait_for_log(
                fleet, self.receiver, "configuration_in_force", "version=9", source
            )
            self.assertEqual(404, (await fleet.search(self.receiver))[0])
            drained = next(id for id in fleet.servers if UNSAFE_SERVICE in id)
            await fleet.register(drained, "draining")
            await self.wait_for_log(
                fleet, self.receiver, "server_news", f"server={drained}", source
            )
            self.assert_all_understood(fleet)

        self.run_here(scenario)

    def test_announced_end_and_end_of_a_limit(self):
        async def scenario(fleet):
            await self.wait_for_membership(fleet)
            leaving, limited = (
                next(s for id, s in fleet.servers.items() if shard in id)
                for shard in ("shard-1", "shard-2")
            )
            limited.rate_limit = 200.0
            for number in (self.sender, self.receiver):
                await self.send_until(
                    fleet, number, "server_limited", limited.id, "rate=200"
                )
            # What the receiver heard from the server after the heartbeat before the
            # message holds against it.
            await curio.sleep(HEARTBEAT_WAIT_S)
            limited.rate_limit = None
            await self.send_until(
                fleet, self.sender, "server_limited", limited.id, "rate=none"
            )
            await self.wait_for_log(
                fleet, self.receiver, "server_limited", limited.id, "source=peer"
            )
            leaving.is_leaving = True
            await self.send_until(
                fleet, self.sender, "server_announced_end", leaving.id
            )
            await self.wait_for_log(
                fleet, self.receiver, "server_end_learned", leaving.id
            )
            self.assert_all_understood(fleet)

        # With one server for each service, each search reaches it.
        self.run_here(scenario, servers=1)

    async def send_until(self, fleet, number, *parts):
        """Send searches to a daemon until its log has a line with all parts."""

        async def send_and_find():
            await fleet.search(number, f"s-{time.monotonic()}")
            lines = fleet.read_log(number).splitlines()
            return any(all(part in line for part in parts) for line in lines)

        await self.wait_for(f"daemon {number} logs {parts}", send_and_find)

    def test_loss_report(self):
        async def scenario(fleet):
            await self.wait_for_membership(fleet)
            servers = [s for s in fleet.servers.values() if s.service == UNSAFE_SERVICE]
            for server in servers:
                server.should_crash = lambda request: request.body == b"crash"

            def crashed():
                return sum(
                    any(body.body == b"crash" for _, body, _ in server.runs)
                    for server in servers
                )

            for query in range(CRASH_LIMIT):
                await fleet.write(self.sender, f"c-{query}", b"crash")
                # Requests that meet the closed port show that the server has ended.
                for other in range(8):
                    await fleet.write(self.sender, f"w-{query}-{other}", b"draft")
            self.assertEqual(CRASH_LIMIT, crashed())

            async def is_refused():
                _, _, body = await fleet.write(self.receiver, "c-last", b"crash")
                return b"QUARANTINED" in body

            await self.wait_for("the receiver refuses the request", is_refused)
            # The receiver knows it from the report, not from a server of its own.
            self.assertEqual(CRASH_LIMIT, crashed())
            self.assert_all_understood(fleet)

        self.run_here(scenario, servers=CRASH_LIMIT + 3)

    async def cut_off_sender(self, fleet):
        """Cut the sender's links, and wait until it hands requests to the receiver."""
        await self.wait_for_membership(fleet)
        (new,) = {0, 1} - set(fleet.builds)
        await self.wait_for_log(fleet, new, "member_abilities", "abilities=relay")
        await fleet.search(self.receiver, "first")
        fleet.cut_links(self.sender, "hang")

        async def is_handed_over():
            # Replies to the receiver show the sender that servers serve.
            await fleet.search(self.receiver, f"r-{time.monotonic()}")
            await fleet.search(self.sender, f"h-{time.monotonic()}")
            return "relays=front-1" in fleet.read_log(self.sender)

        await self.wait_for("a request is handed over", is_handed_over)

    def test_a_false_promise_of_a_server_through_a_peer(self):
        # The older build passes the status on, and states no mark.
        def fail(server, request):
            id = request.headers["request-id"]
            headers = {"server-stamp": f"{server.id}.{id}", "request-id": id}
            return HTTPResponse(429, b"failed", headers)

        async def scenario(fleet):
            await self.cut_off_sender(fleet)
            servers = [s for s in fleet.servers.values() if s.service == UNSAFE_SERVICE]
            for server in servers:
                server.override_response = functools.partial(fail, server)
            ids = [f"w-{number}" for number in range(10)]
            statuses = [(await fleet.write(self.sender, id))[0] for id in ids]
            self.assertEqual([502] * 10, statuses)
            runs = [id for server in servers for id, _, _ in server.runs]
            self.assertEqual(ids, sorted(runs))

        self.run_here(scenario)

    def test_hand_over_of_a_request(self):
        async def scenario(fleet):
            await self.cut_off_sender(fleet)
            statuses = [
                (await fleet.search(self.sender, f"q-{number}"))[0]
                for number in range(10)
            ]
            statuses.append((await fleet.write(self.sender))[0])
            self.assertEqual([200] * 11, statuses)
            await self.wait_for_log(
                fleet, self.receiver, "id=q-9 ", "relayed=True", "status=200"
            )
            self.assert_all_understood(fleet)

        self.run_here(scenario)


class MessagesOfTheOldBuildTest(MessagesTestCase, TwoBuildsTestCase):
    """Guards against messages of an older build that this one does not understand."""

    sender_is_old = True


class MessagesOfThisBuildTest(MessagesTestCase, TwoBuildsTestCase):
    """Guards against messages of this build that an older one does not understand."""

    sender_is_old = False


class UnmarkedBuildTest(TwoBuildsTestCase):
    """Guards against requests that are handed to a peer that cannot take them."""

    def test_nothing_is_handed_to_a_build_without_the_mark(self):
        async def scenario(fleet):
            await self.wait_for_membership(fleet)
            await self.wait_for_log(
                fleet, self.sender, "member_abilities", "abilities=none"
            )
            fleet.cut_links(self.sender, "hang")
            end = time.monotonic() + CHANGE_TIMEOUT_S
            bodies = []
            while time.monotonic() < end:
                await fleet.search(self.receiver, f"r-{time.monotonic()}")
                _, _, body = await fleet.search(
                    self.sender, f"h-{time.monotonic()}", deadline_ms=300
                )
                bodies.append(body)
            # It could reach no server and looked for a peer.
            await self.wait_for_log(
                fleet, self.sender, "links_changed", "state=failing"
            )
            lines = fleet.read_log(self.sender).splitlines()
            self.assertEqual([], [line for line in lines if "relays=" in line])
            self.assertFalse(any(b"PEER_LOST" in body for body in bodies), bodies[-3:])

        argv = ["-m", "almondtide.entry"]
        self.run_scenario(scenario, False, UNMARKED_COMMIT, argv)
