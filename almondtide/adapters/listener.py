"""TCP connections: an accept loop with one task per connection, and connect."""

import socket as stdlib_socket

import curio
from curio import socket

from ..supervision import TASK_FAILURES, error_place

__all__ = ["Listener", "connect", "linger_before_close"]

BACKLOG = 512
LINGER_TIMEOUT_S = 1.0
RECEIVE_BYTES = 65536
# Delay after a connection that could not be accepted, in s.
ACCEPT_RETRY_S = 0.05


async def connect(address, timeout_s):
    """Open a TCP connection to ``(host, port)`` with TCP_NODELAY set.

    Raises ``OSError`` or ``curio.TaskTimeout``.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        async with curio.timeout_after(timeout_s):
            await sock.connect(address)
    except (OverflowError, ValueError, TypeError) as exc:
        # Addresses come from documents and may have an invalid port or host name.
        await sock.close()
        raise OSError(f"invalid address {address!r}: {exc}") from exc
    except BaseException:
        await sock.close()
        raise
    return sock


async def linger_before_close(sock):
    """Shut down writing, then discard input for at most ``LINGER_TIMEOUT_S``.

    Closing a socket with unread input resets the connection, and the reset discards
    a response that the other side has not read yet.
    """
    await sock.shutdown(stdlib_socket.SHUT_WR)
    async with curio.ignore_after(LINGER_TIMEOUT_S):
        while await sock.recv(RECEIVE_BYTES):
            pass


class Listener:
    """Listens on one address and runs ``handler(sock, address)`` per connection.

    An exception in the handler closes only its connection. It is written to
    ``log``, or raised in the task of the connection when ``log`` is None.
    """

    __slots__ = (
        "_accept_task",
        "_connection_tasks",
        "_handler",
        "_log",
        "_sock",
        "address",
    )

    def __init__(self, address, handler, log=None):
        self.address = address
        self._handler = handler
        self._log = log
        self._connection_tasks = set()
        self._sock = None
        self._accept_task = None

    async def start(self):
        """Bind, listen and accept; raises OSError when the address is in use."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            await sock.close()
            raise
        self._sock = sock
        self.address = sock.getsockname()
        self._accept_task = await curio.spawn(self._accept_loop, daemon=True)

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connection_tasks)

    async def _accept_loop(self):
        while True:
            try:
                client, peer = await self._sock.accept()
                await self._start_serving(client, peer)
            except OSError as exc:
                # No file descriptor is left, or the connection was aborted. The daemon
                # must keep accepting, so try again.
                if self._log is not None:
                    self._log.warning("accept_failed", error=str(exc))
                await curio.sleep(ACCEPT_RETRY_S)

    async def _start_serving(self, client, peer):
        try:
            client.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        except OSError:
            # The caller has already reset the connection.
            await client.close()
            return
        task = await curio.spawn(self._serve, client, peer, daemon=True)
        self._connection_tasks.add(task)

    async def _serve(self, client, peer):
        task = await curio.current_task()
        try:
            async with client:
                await self._handler(client, peer)
        except OSError:
            pass
        except curio.CancelledError:
            raise
        except Exception as exc:
            if self._log is None:
                raise
            TASK_FAILURES["connection"] += 1
            self._log.error(
                "connection_failed",
                peer=peer[0],
                error=repr(exc),
                at=error_place(exc),
            )
        finally:
            self._connection_tasks.discard(task)

    async def stop(self):
        """Stop accepting; open connections are still served.

        Connections that wait to be accepted are accepted first, since closing the
        socket would reset them, and their callers may have sent requests.
        """
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        waiting = []
        try:
            while True:
                waiting.append(sock._socket.accept())
        except OSError:
            # None is left.
            await sock.close()
        for client, peer in waiting:
            client.setblocking(False)
            await self._start_serving(curio.io.Socket(client), peer)

    async def close(self):
        """Stop accepting and cancel the tasks of all connections."""
        await self.stop()
        for task in list(self._connection_tasks):
            await task.cancel()
