"""Timeline of the events of all daemons."""

from .client import gather
from .errors import ClientError
from .logs import format_event

__all__ = ["Timeline", "format_timeline_event"]

PAGE_EVENTS = 5000
ID_FIELDS = ("request_id", "query_id", "execution_id")


class Timeline:
    """Polls the events of daemons and sorts them by hybrid logical timestamp.

    ``request_id`` and ``event`` limit the events to those of one request or name, None
    for all. ``kind`` is one of ``events.EVENT_KINDS``. ``failures`` maps the address of
    each daemon that did not answer the last poll to its error. ``dropped`` maps an
    instance to the number of events that were dropped from its ring buffer.
    """

    __slots__ = (
        "_client",
        "_event",
        "_ids",
        "_kind",
        "_last_times",
        "_request_id",
        "dropped",
        "failures",
    )

    def __init__(self, client, addresses, request_id=None, event=None, kind="all"):
        self._client = client
        self._last_times = dict.fromkeys(addresses, (0, 0))
        self._request_id = request_id
        # The request id and the ids of its queries; owners record only the latter.
        self._ids = {request_id}
        self._event = event
        self._kind = kind
        self.failures = {}
        self.dropped = {}

    async def poll(self):
        """Return the matching events since the last poll, oldest first.

        Raises ``ClientError`` when no daemon answers.
        """
        results = await gather(list(self._last_times), self._read)
        self.failures = {
            address: result
            for address, result in results.items()
            if isinstance(result, ClientError)
        }
        if len(self.failures) == len(self._last_times):
            raise next(iter(self.failures.values()))
        events = []
        for address, result in results.items():
            if address not in self.failures:
                events.extend(result)
        events.sort(key=lambda item: (item["time"], item["instance"]))
        for item in events:
            fields = item["fields"]
            if fields.get("request_id") == self._request_id and "query_id" in fields:
                self._ids.add(fields["query_id"])
        return [item for item in events if self._matches(item)]

    async def _read(self, address):
        events = []
        while True:
            wall_ms, counter = self._last_times[address]
            report = await self._client.call(
                address,
                f"events?after={wall_ms},{counter}&limit={PAGE_EVENTS}"
                f"&kind={self._kind}",
            )
            page = report["events"]
            self.dropped[report["instance"]] = report["dropped"]
            events.extend(page)
            if page:
                self._last_times[address] = tuple(page[-1]["time"])
            if len(page) < PAGE_EVENTS:
                return events

    def _matches(self, item):
        if self._event is not None and item["event"] != self._event:
            return False
        if self._request_id is None:
            return True
        fields = item["fields"]
        return any(
            isinstance(fields.get(name), str) and fields[name] in self._ids
            for name in ID_FIELDS
        )


def format_timeline_event(item):
    """Return one line with timestamp, instance, event and its fields."""
    wall_ms, counter = item["time"]
    head = f"{wall_ms / 1000:.3f}+{counter:03d} {item['instance']}"
    return f"{head} {format_event(item['event'], item['fields'])}"
