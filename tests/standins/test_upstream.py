"""Tests of the upstream stand-in; the proofs rely on its limits and faults."""

import json
import tempfile

import curio
import orjson
import testtools

from almondtide.adapters.http import HTTPClient
from almondtide.errors import UpstreamError
from standins.upstream import UpstreamServer, UpstreamSpec
from tests.support import run

SLOW_S = 5.0
DONE_LIMIT_S = 2.0


class UpstreamTest(testtools.TestCase):
    """Guards against a stand-in that accepts or hides what a real server would not."""

    def serve(self, scenario, **fields):
        """Run ``scenario(server)`` and return its result and the record."""
        with tempfile.NamedTemporaryFile() as record:
            spec = UpstreamSpec(port=0, record_path=record.name, **fields)

            async def main():
                server = UpstreamServer(spec)
                await server.start()
                try:
                    async with curio.timeout_after(DONE_LIMIT_S):
                        return await scenario(server)
                finally:
                    await server.listener.close()

            result = run(main)
            return result, [json.loads(line) for line in record]

    async def call(self, server, method, path, body=None, **headers):
        client = await HTTPClient.open(server.listener.address)
        try:
            encoded = b"" if body is None else orjson.dumps(body)
            response = await client.request(method, path, headers, encoded)
            return response.status, response.json(), response.headers
        finally:
            await client.close()

    async def search(self, server, request_id, ranges=((0, 65536),), **fields):
        body = {"query": {}, "index_version": 1, "epoch": 1, "ranges": list(ranges)}
        headers = {"x-request-id": request_id, "x-deadline-ms": "60000"}
        headers.update(fields.pop("headers", {}))
        return await self.call(
            server, "POST", "/v1/search", {**body, **fields}, **headers
        )

    async def control(self, server, **command):
        return await self.call(server, "POST", "/control", command)

    def test_slots_bound_the_searches_that_run(self):
        async def scenario(server):
            tasks = [await curio.spawn(self.search, server, f"r{n}") for n in range(5)]
            answers = [await task.join() for task in tasks]
            return sorted(status for status, _, _ in answers), server.in_use

        result, record = self.serve(scenario, slots=2, service_time_s=0.1)
        self.assertEqual(([200, 200, 503, 503, 503], 0), result)
        ran = [event["in_use"] for event in record if event["event"] == "search"]
        self.assertEqual([1, 2], sorted(ran))
        refused = [event["code"] for event in record if event["event"] == "refused"]
        self.assertEqual(["shed"] * 3, refused)

    def test_cancelled_search_ends_and_frees_its_slot(self):
        async def scenario(server):
            task = await curio.spawn(self.search, server, "r1")
            while not server.cancel_events:
                await curio.sleep(0.01)
            await self.call(server, "DELETE", "/v1/requests/r1")
            status, body, _ = await task.join()
            return status, body["code"], body["not_run"], server.in_use

        result, record = self.serve(scenario, service_time_s=SLOW_S)
        self.assertEqual((410, "cancelled", False, 0), result)
        self.assertEqual("cancelled", record[-1]["outcome"])

    def test_closed_connection_frees_the_slot(self):
        async def scenario(server):
            task = await curio.spawn(self.search, server, "r1")
            while not server.cancel_events:
                await curio.sleep(0.01)
            await task.cancel()
            while server.cancel_events:
                await curio.sleep(0.01)
            return server.in_use

        result, record = self.serve(scenario, service_time_s=SLOW_S)
        self.assertEqual(0, result)
        self.assertEqual("abandoned", record[-1]["outcome"])

    def test_deadline_ends_the_search(self):
        async def scenario(server):
            headers = {"x-deadline-ms": "50"}
            return (await self.search(server, "r1", headers=headers))[:2]

        (status, body), _ = self.serve(scenario, service_time_s=SLOW_S)
        self.assertEqual((504, "deadline_exceeded"), (status, body["code"]))

    def test_record_names_each_request_once(self):
        async def scenario(server):
            await self.search(server, "r1")
            headers = {"x-execution-id": "e1"}
            await self.call(
                server, "POST", "/v1/revise", {"revision": {"marker": "m"}}, **headers
            )

        _, record = self.serve(scenario)
        events = [(item["event"], item.get("outcome")) for item in record]
        expected = [
            ("search", None),
            ("end", "done"),
            ("revise", None),
            ("end", "done"),
        ]
        self.assertEqual(expected, events)
        self.assertEqual("r1", record[0]["request_id"])
        self.assertEqual(("e1", "m"), (record[2]["execution_id"], record[2]["marker"]))
        self.assertEqual(sorted(i["at"] for i in record), [i["at"] for i in record])

    def test_key_ranges_that_are_not_held_are_refused(self):
        async def scenario(server):
            answers = []
            for epoch, high in ((2, 100), (2, 101), (3, 100)):
                answer = await self.search(server, "r", [[0, high]], epoch=epoch)
                answers.append((answer[0], answer[1].get("not_run")))
            return answers

        result, _ = self.serve(scenario, epochs=[1, 2], ranges={"2": [[0, 100]]})
        self.assertEqual([(200, None), (409, True), (409, True)], result)

    def test_connections_above_the_limit_are_closed(self):
        async def scenario(server):
            clients = [await HTTPClient.open(server.listener.address) for _ in range(4)]
            served = 0
            for client in clients:
                try:
                    await client.request("GET", "/v1/status")
                    served += 1
                except UpstreamError:
                    pass
            for client in clients:
                await client.close()
            return served, server.counts["refused_connections"]

        result, _ = self.serve(scenario, connections=2)
        self.assertEqual((2, 2), result)

    def test_only_the_status_report_is_false(self):
        async def scenario(server):
            command = {"state": "draining", "reported": {"state": "live"}}
            await self.control(server, **command)
            _, body, headers = await self.call(server, "GET", "/v1/status")
            status, _, search_headers = await self.search(server, "r1")
            key = "x-upstream-state"
            return body["state"], headers[key], status, search_headers[key]

        result, _ = self.serve(scenario)
        self.assertEqual(("live", "live", 503, "draining"), result)

    def test_status_report_lags(self):
        async def scenario(server):
            await self.control(server, status_lag_s=0.2)
            await self.control(server, state="draining")
            first = (await self.call(server, "GET", "/v1/status"))[1]["state"]
            await curio.sleep(0.3)
            return first, (await self.call(server, "GET", "/v1/status"))[1]["state"]

        result, _ = self.serve(scenario)
        self.assertEqual(("live", "draining"), result)

    def test_faults_are_used_once_each(self):
        async def scenario(server):
            await self.control(server, fault={"kind": "foreign_id"})
            await self.control(server, fault={"kind": "cut"})
            foreign = (await self.search(server, "r1"))[1]["request_id"]
            try:
                await self.search(server, "r2")
                cut = False
            except UpstreamError:
                cut = True
            await self.control(server, fault={"kind": "foreign_id", "count": 3})
            await self.control(server, fault=None)
            return foreign, cut, (await self.search(server, "r3"))[1]["request_id"]

        result, _ = self.serve(scenario)
        self.assertEqual(("other-r1", True, "r3"), result)

    def test_bad_command_is_refused_as_a_whole(self):
        async def scenario(server):
            answers = []
            for bad in (
                {"slots": "many"},
                {"slot": 1},
                {"port": 80},
                {"fault": {"kind": "odd"}},
                {"state": "asleep"},
                {"ranges": {"1": [[5, 5]]}},
            ):
                status, body, _ = await self.control(server, versions=[9], **bad)
                answers.append((status, bool(body["message"])))
            return answers, server.spec.versions

        (answers, versions), _ = self.serve(scenario)
        self.assertEqual([(400, True)] * 6, answers)
        self.assertEqual([1], versions)
