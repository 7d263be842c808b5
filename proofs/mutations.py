"""Mutations: each breaks one promise in a daemon, and its check must detect that."""

import sys

from almondtide import daemon
from almondtide.adapters import platform, upstream
from almondtide.coordinator import Coordinator
from almondtide.documents import DocumentStore
from almondtide.executions import Executions
from almondtide.merging import Coverage
from almondtide.owner import ServiceOwner
from almondtide.registry import Registry
from almondtide.servers import Server
from standins.replacement import replace_attribute

__all__ = ["main", "mutations"]

mutations = Registry("mutation")


@mutations.register("one-snapshot")
def skip_snapshot_comparison():
    """Search the newest version of each server, but label it as the pinned one."""
    newest = {}

    async def search_newest(conn, request_id, remaining_s, sub):
        pinned = sub.version
        sub.version = max(newest.get(id(conn)) or [pinned])
        try:
            reply = await original(conn, request_id, remaining_s, sub)
        finally:
            sub.version = pinned
        newest[id(conn)] = reply.versions
        if isinstance(reply.body, dict) and "index_version" in reply.body:
            reply.body["index_version"] = pinned
        return reply

    original = replace_attribute(
        upstream.HTTPUpstreamConnection, "search", search_newest
    )


@mutations.register("true-coverage")
def claim_full_coverage():
    """Name every shard as covered, whatever the results are."""
    original_init = Coverage.__init__

    def init_with_full_coverage(coverage, shard_map, results):
        original_init(coverage, shard_map, results)
        coverage.present = coverage.fully_covered_services()
        if coverage.covered:
            coverage.covered = [shard.name for shard in shard_map.shards]
            coverage.missing = []

    class FullCoverage(Coverage):
        def fully_covered_services(self):
            present = getattr(self, "present", None)
            return super().fully_covered_services() if present is None else present

    FullCoverage.__init__ = init_with_full_coverage
    replace_attribute(sys.modules["almondtide.coordinator"], "Coverage", FullCoverage)


@mutations.register("own-whole-answer")
def skip_request_id_check():
    """Accept any response on the connection as the answer to the request."""
    replace_attribute(
        upstream.HTTPUpstreamConnection, "_check_identity", lambda *args: None
    )


@mutations.register("not-run-is-true")
def mark_failures_not_run():
    """Answer "not run" for every failed query and every unknown outcome.

    Few queries fail completely, so queries alone may not show the mutation.
    """

    def fill_not_run(coordinator, answer, run):
        original_fill_failure(coordinator, answer, run)
        answer.not_run = True

    def unknown_not_run(executions, message):
        outcome = original_unknown_outcome(executions, message)
        outcome.not_run = True
        return outcome

    original_fill_failure = replace_attribute(
        Coordinator, "_fill_failure", fill_not_run
    )
    original_unknown_outcome = replace_attribute(
        Executions, "_unknown_outcome", unknown_not_run
    )


@mutations.register("at-most-once")
def retry_lost_revisions():
    """Send a revision request to another server after its server was lost."""

    def may_retry(owner, item, code, not_run):
        return bool(owner.servers.untried_servers(item))

    replace_attribute(ServiceOwner, "_may_retry", may_retry)


@mutations.register("leaving-upstream")
def ignore_draining():
    """Give work to servers that are leaving."""
    replace_attribute(Server, "is_draining", lambda server, now: False)
    replace_attribute(Server, "accepts_work", lambda server, now: True)


@mutations.register("planned-stop")
def exit_at_once():
    """Close everything as soon as SIGTERM arrives."""

    async def shut_down(self):
        for listener in self._listeners:
            await listener.close()

    replace_attribute(daemon.Daemon, "_shut_down", shut_down)


@mutations.register("configuration")
def accept_lower_revisions():
    """Accept every revision that differs, also a lower one."""

    async def watch_any(self, name, after, wait_s):
        return await watch(self, name, -1, wait_s)

    def wants(store, name, revision, digest, source):
        return revision != store.revision(name)

    watch = replace_attribute(platform.HTTPPlatform, "watch", watch_any)
    replace_attribute(DocumentStore, "wants", wants)


def main(name):
    """Run ``almondtided`` with the mutation ``name``."""
    mutations.get(name)()
    daemon.main([])


if __name__ == "__main__":
    main(sys.argv[1])
