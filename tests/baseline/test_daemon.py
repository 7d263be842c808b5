"""Tests of the naive daemon as a process."""

import tempfile

import testtools

from standins.dataset import evaluate, make_data_set
from standins.fleet import Fleet, FleetSpec, http_call

WORKLOAD_SPEC = {"services": 2, "servers": 2, "kind": "probes"}
QUERY = {"match": {"district": "Nadi"}}


class NaiveDaemonTest(testtools.TestCase):
    """Guards against a baseline whose list of entries fails.

    Callers would then use only the daemons that they know at the start, and faults
    of the other daemons would not affect them.
    """

    def test_query_and_list_of_entries(self):
        spec = FleetSpec(
            daemons=2,
            workloads={"advisory": WORKLOAD_SPEC},
            pack_servers=True,
            daemon_argv=("-m", "baseline.daemon"),
        )
        with (
            tempfile.TemporaryDirectory() as directory,
            Fleet(spec, directory) as fleet,
        ):
            address = fleet.daemons["entry-01"]["caller"]
            _, _, listing = http_call(address, "GET", "/v1/entries")
            path = "/v1/workloads/advisory/query"
            _, _, answer = http_call(address, "POST", path, QUERY)
            status = fleet.terminate("entry-01")
        listed_instances = [item["instance"] for item in listing["entries"]]
        self.assertEqual(["entry-00", "entry-01"], listed_instances)
        self.assertEqual(["e1-0", "e1-1"], answer["coverage"]["covered"])
        expected = evaluate(make_data_set("probes"), QUERY, 1)
        self.assertEqual(expected, answer["result"]["rows"])
        self.assertEqual(0, status)
