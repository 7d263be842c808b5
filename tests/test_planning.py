"""Tests of the snapshot choice."""

import testtools

from almondtide.configuration import parse_configuration
from almondtide.errors import RefusedError, ResultCode
from almondtide.planning import SnapshotCatalog
from tests.documents import make_document


class SnapshotCatalogTest(testtools.TestCase):
    """Guards against the choice of a snapshot that a service does not hold."""

    def setUp(self):
        super().setUp()
        cfg = parse_configuration(make_document(services=3, epochs=(1, 2)))
        self.workload = cfg.workloads["advisory"]
        self.catalog = SnapshotCatalog()

    def report(self, *entries):
        for number, (versions, epochs) in enumerate(entries):
            self.catalog.update(f"advisory-{number}", versions, epochs)

    def chosen(self):
        plan = self.catalog.choose_plan(self.workload)
        return plan.version, plan.epoch

    def test_highest_pair_in_common(self):
        self.report(([6, 7], [1, 2]), ([6, 7], [1, 2]), ([6, 7, 8], [1, 2]))
        self.assertEqual((7, 2), self.chosen())

    def test_epoch_that_one_service_lacks_is_not_used(self):
        self.report(([7], [1, 2]), ([7], [1]), ([7], [1, 2]))
        self.assertEqual((7, 1), self.chosen())

    def test_service_without_a_report_does_not_block(self):
        self.report(([7], [1, 2]), ([7], [1, 2]))
        self.assertEqual((7, 2), self.chosen())
        self.assertEqual(
            ["advisory-2"], self.catalog.unreported(self.workload.services())
        )

    def test_nothing_in_common_is_refused_as_not_run(self):
        self.report(([6], [1]), ([7], [1]), ([7], [1]))
        exc = self.assertRaises(RefusedError, self.chosen)
        self.assertEqual(ResultCode.SNAPSHOT_UNAVAILABLE, exc.code)
        self.assertTrue(exc.not_run)

    def test_plan_covers_the_key_space(self):
        self.report(([7], [1]), ([7], [1]), ([7], [1]))
        plan = self.catalog.choose_plan(self.workload)
        ranges = [
            part for name in plan.shard_map.services() for part in plan.ranges(name)
        ]
        self.assertEqual(65536, sum(high - low for low, high in ranges))
