"""Tests of the store's client against a stand-in, also with faults."""

import curio
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.adapters.http import HTTPResponse
from almondtide.errors import PlatformError
from almondtide.platform.store import (
    HistoryLostError,
    StoreClient,
    StoreTimeoutError,
    _decode_item,
)
from standins.store import PAGE_ITEMS, StoreServer
from tests.support import HTTPServer, StallMeter, run


def _run_scenario(scenario):
    async def run_scenario():
        store = StoreServer()
        await store.start()
        client = StoreClient(store.address, 0.3)
        meter = StallMeter()
        await curio.spawn(meter.run, daemon=True)
        try:
            return await scenario(store, client)
        except PlatformError as exc:
            # Tells a stand-in that did not answer from a process that did not run.
            exc.add_note(f"longest stall of this process: {meter.longest_s:.3f} s")
            raise
        finally:
            await client.close()
            await store.close()

    return run(run_scenario)


class StoreClientTest(testtools.TestCase):
    """Guards against missing items, and against calls that hang."""

    def test_pages(self):
        async def scenario(store, client):
            for number in range(2 * PAGE_ITEMS + 1):
                await store.put(f"servers/i-{number:03}", b"x")
            await store.put("other", b"y")
            return await client.read("servers/"), client.call_count

        (items, revision), calls = _run_scenario(scenario)
        self.assertEqual(2 * PAGE_ITEMS + 1, len({item.key for item in items}))
        self.assertEqual(b"x", items[0].value)
        self.assertEqual(2 * PAGE_ITEMS + 3, revision)
        self.assertEqual(3, calls)

    def test_pages_after_keys_that_other_writers_chose(self):
        # The list could not be read from then on, and the reader's process ended.
        odd = ["a b&c", "a#", "a%41", "a+", "a\u00e9", "a\udcff", "a\ud800", "a\n"]
        for name in odd:
            keys = [f"servers/a{number:02}" for number in range(PAGE_ITEMS - 1)]

            async def scenario(store, client, keys=keys, name=name):
                for key in (*keys, f"servers/{name}", "servers/z"):
                    await store.put(key, b"x")
                page = await client.changes("", 1, 0, 0.3)
                # Changes that are left out count, or a full page would seem the last.
                self.assertEqual(PAGE_ITEMS + 1, page.event_count)
                items, _ = await client.read("servers/")
                return items, page.items

            for items in _run_scenario(scenario):
                found = {item.key for item in items}
                self.assertEqual({*keys, "servers/z"} - found, set(), repr(name))
                for key in found:
                    key.encode()

    def test_one_item_or_none(self):
        async def scenario(store, client):
            await store.put("op/config", b"doc")
            return await client.get("op/config"), await client.get("none")

        item, missing = _run_scenario(scenario)
        self.assertEqual((b"doc", 2), (item.value, item.position))
        self.assertIsNone(missing)

    def test_changes_of_all_keys_and_removals(self):
        async def scenario(store, client):
            await store.put("servers/i-1", b"x")
            await store.put("op/config", b"doc")
            await store.remove("servers/i-1")
            return await client.changes("", 2, 20, 0.3)

        page = _run_scenario(scenario)
        self.assertEqual(
            [("op/config", b"doc"), ("servers/i-1", None)],
            [(change.key, change.value) for change in page.items],
        )
        self.assertEqual((4, 2, 4), (page.position, page.event_count, page.value_bytes))

    def test_no_change_within_the_wait(self):
        async def scenario(store, client):
            return await client.changes("", store.revision, 20, 0.3)

        page = _run_scenario(scenario)
        self.assertEqual(([], 1), (page.items, page.position))

    def test_lost_history(self):
        async def scenario(store, client):
            await store.put("a", b"x")
            store.drop_history()
            await client.changes("", 1, 20, 0.3)

        self.assertRaises(HistoryLostError, _run_scenario, scenario)

    def test_an_unavailable_store(self):
        for mode in ("busy", "silent", "reset"):

            async def scenario(store, client, mode=mode):
                await store.put("a", b"x")
                store.mode = mode
                try:
                    await client.get("a")
                except PlatformError:
                    store.mode = "normal"
                    return await client.get("a")
                raise AssertionError(f"{mode}: no error")

            self.assertEqual(b"x", _run_scenario(scenario).value)

    def test_a_watch_without_an_answer(self):
        async def scenario(store, client):
            store.mode = "silent"
            await client.changes("", 1, 20, 0.1)

        self.assertRaises(StoreTimeoutError, _run_scenario, scenario)

    def test_a_refused_connection(self):
        async def scenario(store, client):
            await store.close()
            await client.get("a")

        self.assertRaises(PlatformError, _run_scenario, scenario)

    def test_malformed_answers(self):
        for body in (b"{", b"[]", b'{"events": 3}', b'{"events": [{}], "as_of": 1}'):

            async def scenario(body=body):
                async def handler(request):
                    return HTTPResponse(200, body)

                async with HTTPServer(handler) as server:
                    await StoreClient(server.address, 0.3).changes("", 1, 10, 0.3)

            self.assertRaises(PlatformError, run, scenario)


class DecodeItemTest(testtools.TestCase):
    """Guards against an unreadable item that prevents reading the others."""

    def test_value_that_is_not_base64_is_an_empty_one(self):
        for value in ("%%", 7, None, "abc"):
            item = _decode_item({"key": "k", "revision": 3, "value": value}, 0)
            self.assertEqual((b"", 3), (item.value, item.position))

    @given(
        st.dictionaries(
            st.sampled_from(["key", "value", "revision", "removed"]),
            st.none() | st.booleans() | st.integers(-9, 9) | st.text("ab=", max_size=4),
        )
    )
    def test_any_object(self, data):
        try:
            _decode_item(data, 0)
        except PlatformError:
            pass
