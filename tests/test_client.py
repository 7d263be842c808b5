"""Tests of the caller client with lost, draining and overloaded entries."""

import random

import curio
import orjson
import testtools

from almondtide.adapters.http import json_response
from almondtide.addresses import format_address
from almondtide.client import MAX_TRIES, CallerClient
from almondtide.errors import ClientError, RefusedError, ResultCode
from tests.support import HTTPServer, run


class ScriptedEntries:
    """Entries that answer from scripts, each a list of actions.

    An action is an exception for a refusal, ``lose`` to close the connection without
    a response, or None for a successful answer. The last action is repeated.
    """

    def __init__(self, *scripts, max_age_ms=1000):
        self.scripts = [list(script) for script in scripts]
        self.max_age_ms = max_age_ms
        self.requests = []
        self.entries_request_count = 0
        self.servers = [
            HTTPServer(self._handler(index)) for index in range(len(scripts))
        ]

    def _handler(self, index):
        async def handle(request):
            if request.path == "/v1/entries":
                self.entries_request_count += 1
                return json_response(200, self.report())
            self.requests.append((index, dict(request.headers)))
            script = self.scripts[index]
            action = script.pop(0) if len(script) > 1 else script[0]
            if isinstance(action, Exception):
                raise action
            if action == "lose":
                raise OSError
            return json_response(200, {"code": 0, "name": "OK", "not_run": False})

        return handle

    def report(self):
        return {
            "max_age_ms": self.max_age_ms,
            "execution_prefix": "i~c~0",
            "entries": [
                {"instance": str(index), "address": format_address(server.address)}
                for index, server in enumerate(self.servers)
            ],
        }

    async def __aenter__(self):
        for server in self.servers:
            await server.__aenter__()
        return self

    async def __aexit__(self, *details):
        for server in self.servers:
            await server.__aexit__()

    def client(self):
        return CallerClient([s.address for s in self.servers], rng=random.Random(1))


def refused(code, retry_after_ms=1):
    return RefusedError("no", code, retry_after_ms=retry_after_ms)


class CallerClientTest(testtools.TestCase):
    """Guards against lost requests, repeated executions and unlimited retries."""

    def query(self, entries, deadline_ms=2000, method="query"):
        async def main():
            async with entries:
                client = entries.client()
                try:
                    if method == "query":
                        return await client.query("w", b"{}", deadline_ms)
                    execution_id = await client.new_execution_id()
                    return await client.revise("w", execution_id, b"{}", deadline_ms)
                finally:
                    await client.close()

        return run(main)

    def test_lost_entry(self):
        for failing_script in (["lose"], [refused(ResultCode.DRAINING)]):
            entries = ScriptedEntries(failing_script, failing_script, [None])
            answer = self.query(entries)
            self.assertEqual(ResultCode.OK, answer.code)
            self.assertEqual(2, entries.requests[-1][0])

    def test_retry_after_is_honoured(self):
        entries = ScriptedEntries([refused(ResultCode.OVERLOADED, 150), None])

        async def main():
            async with entries:
                client = entries.client()
                started = await curio.clock()
                answer = await client.query("w", b"{}", 2000)
                await client.close()
                return answer, await curio.clock() - started

        answer, elapsed = run(main)
        self.assertEqual((ResultCode.OK, 2), (answer.code, answer.tries))
        self.assertTrue(elapsed >= 0.15, elapsed)
        sent = [float(h["almondtide-deadline-ms"]) for _, h in entries.requests]
        self.assertTrue(sent[1] <= sent[0] - 150, sent)

    def test_retry_after_beyond_the_deadline(self):
        entries = ScriptedEntries([refused(ResultCode.OVERLOADED, 5000)])
        answer = self.query(entries)
        self.assertEqual((ResultCode.OVERLOADED, 1), (answer.code, answer.tries))
        self.assertTrue(answer.not_run)

    def test_tries_are_bounded(self):
        entries = ScriptedEntries([refused(ResultCode.OVERLOADED, 1)])
        answer = self.query(entries)
        self.assertEqual(ResultCode.OVERLOADED, answer.code)
        self.assertEqual(MAX_TRIES, len(entries.requests))
        entries = ScriptedEntries(["lose"], ["lose"])
        self.assertRaises(ClientError, self.query, entries)
        self.assertEqual(MAX_TRIES, len(entries.requests))

    def test_other_refusals_are_final(self):
        for code in (ResultCode.QUARANTINED, ResultCode.RETRY_BUDGET_EXHAUSTED):
            entries = ScriptedEntries([refused(code)], [refused(code)])
            self.assertEqual(code, self.query(entries).code)
            self.assertEqual(1, len(entries.requests))

    def test_revise_keeps_its_execution_id(self):
        """With a new execution id, a lost request could run twice."""
        entries = ScriptedEntries(["lose"], ["lose"], [None])
        answer = self.query(entries, method="revise")
        self.assertEqual(ResultCode.OK, answer.code)
        ids = {h["almondtide-execution-id"] for _, h in entries.requests}
        self.assertEqual(1, len(ids), entries.requests)
        self.assertTrue(ids.pop().startswith("i~c~0~"))

    def test_not_run_is_false_after_a_lost_attempt(self):
        """The lost attempt may have run, whatever the later refusal says."""
        entries = ScriptedEntries(["lose", refused(ResultCode.QUARANTINED)])
        answer = self.query(entries, method="revise")
        self.assertTrue(answer.is_stated_not_run)
        self.assertFalse(answer.not_run)

    def test_lost_attempt_after_a_refusal_is_an_error(self):
        entries = ScriptedEntries([refused(ResultCode.OVERLOADED), "lose"])
        error = self.assertRaises(ClientError, self.query, entries, 2000, "revise")
        self.assertEqual(ResultCode.CONNECTION_LOST, error.code)
        self.assertFalse(error.not_run)

    def test_entries_are_cached_for_their_age(self):
        entries = ScriptedEntries([None], max_age_ms=150)

        async def main():
            async with entries:
                client = entries.client()
                for _ in range(3):
                    await client.query("w", b"{}")
                first = entries.entries_request_count
                await curio.sleep(0.2)
                await client.query("w", b"{}")
                await client.close()
                return first, entries.entries_request_count

        self.assertEqual((1, 2), run(main))

    def test_unusable_entries_answers(self):
        async def ask(body):
            async def handle(request):
                return json_response(200, body)

            async with HTTPServer(handle) as server:
                client = CallerClient([server.address])
                try:
                    return await client.entries(1.0)
                finally:
                    await client.close()

        good = {"instance": "a", "address": "h:1"}
        for body in (
            None,
            [],
            {},
            {"entries": [], "max_age_ms": 1},
            {"entries": [{}], "max_age_ms": 1},
            {"entries": [{"address": 5}], "max_age_ms": 1},
            {"entries": [good], "max_age_ms": "x"},
            {"entries": [good]},
        ):
            error = self.assertRaises(ClientError, run, ask, body)
            self.assertEqual(ResultCode.NO_ANSWER, error.code, orjson.dumps(body))
