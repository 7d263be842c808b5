"""Tests of the data sets."""

import testtools

from standins.dataset import evaluate_merged, make_data_set


class DataSetTest(testtools.TestCase):
    """Guards against data in which lost, repeated or mixed readings do not show."""

    def test_probe_ids_appear_in_two_networks(self):
        networks = {}
        for row in make_data_set("probes").rows(1):
            networks.setdefault(row["probe"], set()).add(row["network"])
        shared = [name for name, found in networks.items() if len(found) == 2]
        self.assertGreater(len(shared), 100)
        self.assertLess(len(shared), len(networks) / 2)

    def test_ids_are_unique_and_versions_differ(self):
        for kind in ("probes", "sheets"):
            data = make_data_set(kind)
            first, second = data.rows(1), data.rows(2)
            self.assertEqual(len(first), len({row["id"] for row in first}))
            common = {row["id"] for row in first} & {row["id"] for row in second}
            self.assertLess(len(common), len(first))
            old = {row["id"]: row for row in first}
            self.assertTrue(all(old[r["id"]] != r for r in second if r["id"] in common))

    def test_newest_reading_counts_shared_ids_by_network(self):
        data = make_data_set("probes")
        rows = data.rows(1)
        newest = evaluate_merged(data, {}, 1, "newest_per_probe")["rows"]
        probes = {(row["network"], row["probe"]) for row in rows}
        self.assertEqual(len(probes), len(newest))
        for row in newest:
            same = [r for r in rows if r["probe"] == row["probe"]]
            same = [r for r in same if r["network"] == row["network"]]
            self.assertEqual(max(r["time"] for r in same), row["time"])
