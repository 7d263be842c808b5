"""Tests of the stand-in for the configuration service."""

import curio
import orjson
import testtools

from almondtide.adapters.http import HTTPClient
from standins.platform import PlatformServer
from tests.support import run

WATCHERS = 50


class PlatformTest(testtools.TestCase):
    """Guards against a stand-in with fewer limits than the specified service."""

    def serve(self, scenario, **options):
        async def main():
            server = PlatformServer(("127.0.0.1", 0), **options)
            await server.start()
            try:
                return await scenario(server)
            finally:
                await server.listener.close()

        return run(main)

    async def call(self, server, method, path, body=None):
        client = await HTTPClient.open(server.listener.address)
        try:
            encoded = b"" if body is None else orjson.dumps(body)
            response = await client.request(method, path, {}, encoded)
            decoded = response.json() if response.body else None
            return response.status, decoded
        finally:
            await client.close()

    async def read(self, server, name="configuration", after=-1, wait_ms=0):
        path = f"/v1/documents/{name}?after={after}&wait_ms={wait_ms}"
        status, body = await self.call(server, "GET", path)
        return status, body.get("body") if status == 200 else None

    async def control(self, server, **command):
        return await self.call(server, "POST", "/control", command)

    def test_list_lags_and_revisions_are_distinct(self):
        async def scenario(server):
            revisions = []
            for body in ("old", "new"):
                command = {"publish": {"name": "instances", "body": body}}
                revisions.append((await self.control(server, **command))[1]["revision"])
            early = await self.read(server, "instances")
            await curio.sleep(0.4)
            return revisions, early, await self.read(server, "instances")

        result = self.serve(scenario, list_lag_s=0.2)
        self.assertEqual(([1, 2], (404, None), (200, "new")), result)

    def test_stale_service_serves_the_old_documents(self):
        async def scenario(server):
            await server.publish("configuration", "old")
            await self.control(server, mode="stale")
            await server.publish("configuration", "new")
            stale = await self.read(server)
            await self.control(server, mode="normal")
            return stale, await self.read(server)

        self.assertEqual(((200, "old"), (200, "new")), self.serve(scenario))

    def test_waiting_watch_counts_as_one_call_and_does_not_poll(self):
        async def scenario(server):
            revision = await server.publish("configuration", "old")
            tasks = [
                await curio.spawn(self.read, server, "configuration", revision, 10_000)
                for _ in range(WATCHERS)
            ]
            while server.waiting < WATCHERS:
                await curio.sleep(0.01)
            await curio.sleep(0.3)
            idle = (server.calls, server.wakeups)
            await server.publish("configuration", "new")
            answers = [await task.join() for task in tasks]
            return idle, answers, (server.calls, server.wakeups, server.waiting)

        idle, answers, after = self.serve(scenario)
        self.assertEqual((WATCHERS, 0), idle)
        self.assertEqual([(200, "new")] * WATCHERS, answers)
        self.assertEqual((WATCHERS, WATCHERS, 0), after)

    def test_watch_without_change_returns_304(self):
        async def scenario(server):
            revision = await server.publish("configuration", "old")
            return await self.read(server, after=revision, wait_ms=50)

        self.assertEqual((304, None), self.serve(scenario))

    def test_outage_ends_waiting_watches(self):
        async def scenario(server):
            revision = await server.publish("configuration", "old")
            task = await curio.spawn(
                self.read, server, "configuration", revision, 10_000
            )
            while not server.waiting:
                await curio.sleep(0.01)
            await self.control(server, mode="down")
            return (await task.join())[0], (await self.read(server))[0], server.calls

        self.assertEqual((503, 503, 2), self.serve(scenario))

    def test_reads_above_the_rate_are_refused_and_counted(self):
        async def scenario(server):
            await server.publish("configuration", "old")
            answers = [(await self.read(server))[0] for _ in range(4)]
            return answers, server.calls, server.rejected

        result = self.serve(scenario, reads_per_s=2)
        self.assertEqual(([200, 200, 429, 429], 4, 2), result)

    def test_bad_commands_and_large_values_are_refused(self):
        async def scenario(server):
            bad = [
                {"mode": "odd"},
                {"modes": "down"},
                {"list_lag_s": -1},
                {"publish": {"name": "configuration"}},
            ]
            answers = [(await self.control(server, **command)) for command in bad]
            large = {"name": "configuration", "body": "x" * 1_000_001}
            answers.append(await self.control(server, publish=large))
            texts = [bool(body["message"]) for _, body in answers]
            return [status for status, _ in answers], texts, server.documents

        statuses, texts, documents = self.serve(scenario)
        self.assertEqual([400, 400, 400, 400, 413], statuses)
        self.assertEqual([True] * 5, texts)
        self.assertEqual({}, documents)
