"""Tests of a daemon's components without a process."""

import orjson
import testtools

from almondtide.entry.daemon import EntryDaemon
from almondtide.platform.settings import decode_settings
from tests.entry.support import settings_document
from tests.support import MemoryLog


class ReloadTest(testtools.TestCase):
    """Guards against components that keep old settings after a reload."""

    def test_all_components_get_changed_settings(self):
        document = settings_document()
        before = decode_settings(orjson.dumps(document))
        document["bounds"]["drain_ms"] = 9000
        after = decode_settings(orjson.dumps(document))
        daemon = EntryDaemon(before, MemoryLog(), None, lambda: after)
        daemon._reload("signal")
        for part in daemon.settings_users:
            self.assertEqual(9.0, part.settings.drain_s, type(part).__name__)
        names = {type(part).__name__ for part in daemon.settings_users}
        expected = {"Gossip", "StoreReader", "StoreFeed", "Dispatcher", "Directory"}
        self.assertEqual(expected, names)
