"""Tests of the naive daemon as a process."""

import tempfile

import testtools

from standins.dataset import evaluate, make_data_set
from standins.fleet import Fleet, FleetSpec, http_call

SHAPE = {"services": 2, "servers": 2, "kind": "probes"}
QUERY = {"match": {"district": "Nadi"}}


class NaiveDaemonTest(testtools.TestCase):
    """Guards against a baseline that serves from fewer daemons than the product.

    When its address call failed, callers used only the daemons they knew at
    first, and no fault of another daemon touched them.
    """

    def test_answers_and_addresses(self):
        spec = FleetSpec(
            daemons=2,
            workloads={"advisory": SHAPE},
            pack_servers=True,
            daemon_argv=("-m", "baseline.daemon"),
        )
        with tempfile.TemporaryDirectory() as directory, Fleet(spec, directory) as it:
            address = it.daemons["entry-01"]["caller"]
            _, _, stated = http_call(address, "GET", "/v1/entries")
            path = "/v1/workloads/advisory/query"
            _, _, answer = http_call(address, "POST", path, QUERY)
            status = it.terminate("entry-01")
        named = [item["instance"] for item in stated["entries"]]
        self.assertEqual(["entry-00", "entry-01"], named)
        self.assertEqual(["e1-0", "e1-1"], answer["coverage"]["covered"])
        expected = evaluate(make_data_set("probes"), QUERY, 1)
        self.assertEqual(expected, answer["result"]["rows"])
        self.assertEqual(0, status)
