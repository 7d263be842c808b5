"""Connection pool of one daemon for all servers."""

from almondtide.errors import ResultCode, UpstreamError

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 1.0


class ConnectionPool:
    """Idle connections by server address, with a limit for each server.

    ``get_limit()`` returns how many connections this daemon may hold to a server.
    Without coordination, the daemons can only stay within the connection limit of a
    server if each keeps to a fixed share of it. ``acquire`` beyond this share raises
    the same error as a server that sheds load.
    """

    __slots__ = ("_get_limit", "_idle", "_open_counts", "_upstreams")

    def __init__(self, upstreams, get_limit):
        self._upstreams = upstreams
        self._get_limit = get_limit
        self._idle = {}
        self._open_counts = {}

    async def acquire(self, address):
        """Return an idle or a new connection; raises ``UpstreamError``."""
        idle = self._idle.setdefault(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable and not conn.is_stale():
                return conn
            await self.discard(address, conn)
        if self._open_counts.get(address, 0) >= self._get_limit():
            raise UpstreamError(
                "all connections to the server are in use",
                ResultCode.UPSTREAM_SHED,
                not_run=True,
            )
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        try:
            return await self._upstreams.connect(address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._open_counts[address] -= 1
            raise

    async def release(self, address, conn):
        """Return a connection to the pool after a complete exchange."""
        if conn.is_usable:
            self._idle.setdefault(address, []).append(conn)
        else:
            await self.discard(address, conn)

    async def discard(self, address, conn):
        """Close a connection."""
        self._open_counts[address] -= 1
        await conn.close()

    def open_connections(self, address):
        """Return the number of connections to a server, idle or in use."""
        return self._open_counts.get(address, 0)
