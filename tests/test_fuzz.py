"""Malformed input to every decoder and receiving loop, from a fixed seed.

Valid messages are altered: values are replaced by odd ones, bytes flipped, cut off or
repeated. A decoder raises the error that it declares, and a loop goes on.
"""

import copy
import random

import cbor2
import curio
import h11
import orjson
import testtools

from almondtide.adapters.http import HTTPClient, HTTPResponse
from almondtide.entry.callers import CallerConnection
from almondtide.entry.codec import (
    EndAnnouncement,
    Heartbeat,
    decode_message,
    decode_snapshot,
    encode_end_announcement,
    encode_heartbeat,
    encode_loss_reports,
    encode_snapshot,
    encode_updates,
)
from almondtide.errors import (
    AlmondtideError,
    DocumentError,
    PeerError,
    PlatformError,
    SettingsError,
    UpstreamError,
)
from almondtide.messages import Hello, Ping, decode_frame, encode_frame
from almondtide.platform.documents import decode_configuration, decode_server
from almondtide.platform.headers import decode_reply, decode_request
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import StoreClient
from tests.entry.support import settings_document
from tests.entry.test_callers import REQUEST, _Frontend
from tests.entry.test_codec import _replica
from tests.entry.test_gossip import _Daemon, _member
from tests.platform.test_documents import ENTRY
from tests.support import HTTPServer, run, socket_pair

SEED = 20261204
ROUNDS = 1500
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1 << 70,
    1 << 200,
    float("inf"),
    float("-inf"),
    float("nan"),
    1e300,
    0.5,
    "",
    "a\0b",
    "\ud800x".encode("utf-16", "surrogatepass"),
    b"",
    [],
    {},
    [[]],
    {"a": {"b": []}},
)


def _places(value, path=()):
    """Yield the path of each value within nested lists and dicts."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _places(inner, (*path, key))


def alter_value(rng, value):
    """Return a copy with one value replaced, removed or repeated."""
    path = rng.choice([path for path in _places(value) if path] or [()])
    if not path:
        return rng.choice(ODD_VALUES)
    altered = copy.deepcopy(value)
    target = altered
    for key in path[:-1]:
        target = target[key]
    kind = rng.random()
    if kind < 0.15:
        del target[path[-1]]
    elif kind < 0.25 and isinstance(target, list):
        target.append(copy.deepcopy(target[path[-1]]))
    else:
        target[path[-1]] = rng.choice(ODD_VALUES)
    return altered


def alter_bytes(rng, raw):
    """Return bytes with some flipped, cut off, doubled or inserted."""
    raw = bytearray(raw)
    for _ in range(rng.randrange(1, 4)):
        place = rng.randrange(len(raw) + 1)
        kind = rng.randrange(4)
        if kind == 0:
            del raw[place:]
        elif kind == 1:
            raw[place:place] = rng.randbytes(rng.randrange(1, 5))
        elif kind == 2:
            raw += raw[place:]
        elif place < len(raw):
            raw[place] ^= 1 << rng.randrange(8)
    return bytes(raw)


def make_datagrams():
    """Return a valid datagram of each kind."""
    replica = _replica(2)
    members = [_member(1), _member(2, is_active=True)]
    heartbeat = Heartbeat(_member(0), 7, 3, 0.2, members, True, 12, 0.1)
    return [
        encode_heartbeat(heartbeat, 1.0),
        *encode_updates(replica.all_records(), None, now=0.0),
        *encode_loss_reports([("f1", ["i-1", "i-2"])]),
        encode_end_announcement(EndAnnouncement("i-1", 7, 1.5)),
        cbor2.dumps([1, 2, [], [5, b"x\x9c\x03\x00\x00\x00\x00\x01"]]),
    ]


class DecoderTest(testtools.TestCase):
    """Guards against a process or a task that ends by one malformed message."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(SEED)

    def check(self, decode, raws, load, dump, error):
        """Decode altered messages; ``error`` is all that may be raised."""
        refused = 0
        for _ in range(ROUNDS):
            raw = self.rng.choice(raws)
            if load is not None and self.rng.random() < 0.7:
                try:
                    altered = dump(alter_value(self.rng, load(raw)))
                except (TypeError, ValueError, OverflowError):
                    # The format has no such value.
                    continue
            else:
                altered = alter_bytes(self.rng, raw)
            try:
                decode(altered)
            except error:
                refused += 1
            except Exception as exc:
                self.fail(f"seed {SEED}: {altered!r}: {exc!r}")
        self.assertGreater(refused, ROUNDS // 20)

    def test_datagrams(self):
        self.check(
            lambda raw: decode_message(raw, 1.0),
            make_datagrams(),
            cbor2.loads,
            cbor2.dumps,
            DocumentError,
        )

    def test_snapshots(self):
        ends = [EndAnnouncement("i-1", 7, 1.5)]
        raws = [encode_snapshot(_replica(3), 3, 0.5, given) for given in (None, ends)]
        self.check(decode_snapshot, raws, None, None, DocumentError)

    def test_frames_between_daemons(self):
        raw = encode_frame((5, 1), [Hello(instance="a", incarnation="b"), Ping(seq=3)])
        self.check(decode_frame, [raw], cbor2.loads, cbor2.dumps, PeerError)

    def test_settings(self):
        raw = orjson.dumps(settings_document())
        self.check(decode_settings, [raw], orjson.loads, orjson.dumps, SettingsError)

    def test_servers_in_the_store(self):
        raw = orjson.dumps(ENTRY)
        self.check(
            lambda raw: decode_server("servers/i-1", raw),
            [raw],
            orjson.loads,
            orjson.dumps,
            DocumentError,
        )

    def test_configurations_in_the_store(self):
        document = {
            "version": 4,
            "limits": {"max_header_bytes": 8192, "idle_timeout_ms": 5000},
            "routes": [
                {
                    "name": "r",
                    "host": "h",
                    "prefix": "/p/",
                    "route_type": "safe",
                    "gather": ["a", "b"],
                    "timeout_ms": 800,
                    "target_latency_ms": 100,
                    "priority": 1,
                    "top_k": 5,
                    "min_coverage": 0.8,
                    "max_attempts": 2,
                }
            ],
            "services": [{"name": "a", "max_connections": 60}],
        }
        raw = orjson.dumps(document)
        self.check(
            decode_configuration, [raw], orjson.loads, orjson.dumps, DocumentError
        )

    def test_headers_of_both_sides(self):
        names = [b"deadline-ms", b"request-id", b"retry-after", b"keep-alive"]
        names += [b"connection", b"host", b"server-leaving", b"not-run"]
        for _ in range(ROUNDS):
            headers = [
                (self.rng.choice(names), self.rng.randbytes(self.rng.randrange(9)))
                for _ in range(self.rng.randrange(5))
            ]
            decode_request(b"GET", b"/p/x", headers, b"")
            reply = decode_reply(self.rng.choice((200, 421, 503)), headers, b"")
            self.assertTrue(reply.pause_s is None or 0 <= reply.pause_s < 1e12)


class LoopTest(testtools.TestCase):
    """Guards against a loop that is deaf after one malformed message."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(SEED)

    def test_gossip_hears_the_datagram_after_altered_ones(self):
        daemon = _Daemon(3)
        daemon.gossip.set_end_handler(lambda *args: None)
        daemon.gossip.set_loss_handler(lambda *args: None)
        raws = make_datagrams()

        async def scenario():
            for _ in range(ROUNDS):
                raw = self.rng.choice(raws)
                if self.rng.random() < 0.7:
                    raw = cbor2.dumps(alter_value(self.rng, cbor2.loads(raw)))
                else:
                    raw = alter_bytes(self.rng, raw)
                await daemon.gossip.receive_datagram(raw, "10.0.0.9", 0.0)
            await daemon.gossip.receive_datagram(raws[0], "10.0.0.9", 0.0)

        run(scenario)
        counts = daemon.gossip.counts
        self.assertGreater(counts["datagrams_invalid"], ROUNDS // 4)
        # What passes the decoder is handled; the daemon has no other error.
        failed = [item for item in daemon.log.events if item[0] == "datagram_failed"]
        self.assertEqual([], failed[:3])

    def test_a_caller_gets_an_answer_or_a_close(self):
        async def scenario():
            for _ in range(120):
                ours, theirs = socket_pair()
                connection = CallerConnection(theirs, _Frontend())
                task = await curio.spawn(connection.run)
                ours.sendall(alter_bytes(self.rng, REQUEST % b"id-1"))
                ours.close()
                async with curio.timeout_after(5):
                    await task.join()

        run(scenario, timeout_s=60)

    def test_a_client_of_altered_responses_gets_its_declared_errors(self):
        raw = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}"

        async def scenario():
            for _ in range(150):
                ours, theirs = socket_pair()
                client = HTTPClient(theirs, "h")
                ours.sendall(alter_bytes(self.rng, raw))
                ours.close()
                try:
                    await client.request("GET", "/v1/kv-key")
                except (UpstreamError, h11.LocalProtocolError):
                    pass

        run(scenario)

    def test_the_store_client_raises_platform_errors_only(self):
        item = {"key": "servers/i-1", "value": "e30=", "revision": 4}
        pages = {
            "/v1/kv-key": {**item, "as_of": 7},
            "/v1/kv-range": {"items": [item], "as_of": 7, "has_more": False},
            "/v1/kv-watch": {"events": [item], "as_of": 7},
        }

        async def respond(request):
            body = orjson.dumps(alter_value(self.rng, pages[request.path]), default=str)
            return HTTPResponse(200, body, {"store-era": str(self.rng.choice("01x"))})

        async def scenario():
            refused = 0
            async with HTTPServer(respond) as server:
                store = StoreClient(server.address, 2.0)
                for _ in range(200):
                    calls = (
                        lambda: store.get("servers/i-1"),
                        lambda: store.read("servers/"),
                        lambda: store.changes("", 3, 20, 1.0),
                    )
                    try:
                        await self.rng.choice(calls)()
                    except PlatformError:
                        refused += 1
                await store.close()
            return refused

        self.assertGreater(run(scenario, timeout_s=60), 20)

    def test_errors_are_coded(self):
        for error in (DocumentError, PeerError, PlatformError):
            self.assertTrue(issubclass(error, AlmondtideError))
