"""Tests of the document store."""

import curio
import testtools

from almondtide.clock import MemoryClock
from almondtide.documents import DocumentKind, DocumentStore
from almondtide.errors import DocumentError
from almondtide.events import EventRing
from almondtide.logs import Log
from almondtide.messages import DocumentReply, DocumentRequest
from almondtide.ports import Document

LARGE = {str(n): "text" * 5 for n in range(50)}


def _validate(body, revision):
    if "bad" in body:
        raise ValueError("$.bad: unknown field")
    return body


class DocumentStoreTest(testtools.TestCase):
    """Guards against a configuration that is reverted, invalid or corrupted."""

    def setUp(self):
        super().setUp()
        self.applied = []
        self.events = EventRing(MemoryClock())
        self.store = self.make_store()

    def make_store(self):
        async def apply(document, parsed):
            self.applied.append((document.revision, parsed))

        kind = DocumentKind("configuration", _validate, apply)
        return DocumentStore([kind], Log(self.events))

    def offer(self, revision, body, store=None):
        document = Document("configuration", revision, body)
        return curio.run((store or self.store).offer, document, "test")

    def event_names(self):
        return [event.name for event in self.events.since()]

    def test_revision_only_increases(self):
        """A late or stale revision must not replace a newer one."""
        self.assertTrue(self.offer(3, {"n": 3}))
        self.assertFalse(self.offer(2, {"n": 2}))
        self.assertFalse(self.offer(3, {"n": 3}))
        self.assertEqual([(3, {"n": 3})], self.applied)

    def test_invalid_revision_is_reported_and_left_out(self):
        """The last valid revision stays, and a later valid one is accepted."""
        self.offer(1, {"n": 1})
        self.assertFalse(self.offer(2, {"bad": 1}))
        self.assertEqual(1, self.store.revision("configuration"))
        self.assertEqual(2, self.store.highest_seen_revision("configuration"))
        (rejected,) = self.store.report("configuration")["rejected"]
        self.assertEqual(2, rejected["revision"])
        self.assertEqual(["$.bad: unknown field"], rejected["problems"])
        self.assertIn("document_rejected", self.event_names())
        self.assertTrue(self.offer(3, {"n": 3}))

    def test_rejected_revision_is_not_fetched_again(self):
        """Guards against a fetch from each peer each second."""
        self.offer(1, {"n": 1})
        document = Document("configuration", 2, {"bad": 1})
        self.offer(2, {"bad": 1})
        wants = self.store.wants("configuration", 2, document.digest, "peer")
        self.assertFalse(wants)
        # Another content with the same number, as after a rollback, is fetched.
        self.assertTrue(self.store.wants("configuration", 2, "other", "peer"))

    def test_two_contents_for_one_revision(self):
        """The content in force stays, and the conflict is reported once."""
        self.offer(2, {"n": 2})
        for _ in range(3):
            self.assertFalse(self.offer(2, {"n": "other"}))
        self.assertEqual({"n": 2}, self.store.current("configuration").body)
        self.assertEqual(1, self.event_names().count("document_conflict"))
        (conflict,) = self.store.report("configuration")["conflicts"]
        self.assertEqual(2, conflict["revision"])

    def test_failure_to_apply_keeps_the_document(self):
        """A component that fails must not end the distribution of documents."""

        async def apply(document, parsed):
            raise RuntimeError("owner failed")

        kind = DocumentKind("configuration", _validate, apply)
        store = DocumentStore([kind], Log(self.events))
        self.assertTrue(self.offer(1, {"n": 1}, store))
        self.assertIn("document_apply_failed", self.event_names())

    def test_reply_holds_changes_if_they_are_known(self):
        for n in range(1, 5):
            self.offer(n, {**LARGE, "n": n})
        base = Document("configuration", 2, {**LARGE, "n": 2})
        reply = self.request(2, base.digest)
        self.assertEqual([3, 4], [step[0] for step in reply.patches])
        self.assertIsNone(reply.snapshot)
        for have, digest in ((2, "other"), (0, None)):
            reply = self.request(have, digest)
            self.assertEqual([], reply.patches)
            self.assertEqual({**LARGE, "n": 4}, reply.snapshot)

    def request(self, have, digest):
        message = DocumentRequest(name="configuration", have=have, digest=digest)
        return self.store.make_reply(message)

    def test_receiver_applies_changes_and_serves_them(self):
        """Received changes are sent on without being computed again."""
        other = self.make_store()
        self.offer(1, {**LARGE, "n": 1})
        self.offer(1, {**LARGE, "n": 1}, other)
        for n in range(2, 5):
            self.offer(n, {**LARGE, "n": n})
        have = other.current("configuration")
        reply = self.request(1, have.digest)
        self.assertTrue(curio.run(other.apply_reply, reply, "peer"))
        self.assertEqual(4, other.revision("configuration"))
        message = DocumentRequest(name="configuration", have=1, digest=have.digest)
        self.assertEqual(reply.patches, other.make_reply(message).patches)

    def test_reply_without_the_stated_digest_is_refused(self):
        """Guards against corrupted content and changes without their base."""
        for content in ({"snapshot": {"n": 5}}, {"patches": [[5, {}, "0" * 32]]}):
            reply = DocumentReply(
                name="configuration", revision=5, digest="0" * 32, **content
            )
            with testtools.ExpectedException(DocumentError):
                curio.run(self.store.apply_reply, reply, "peer")
            self.assertEqual(0, self.store.revision("configuration"))
