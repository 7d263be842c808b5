"""Entry daemon whose links to servers can be cut while it runs.

``python -m standins.partitioned_entry`` runs the entry. A file beside its settings
file, with ``CUT_SUFFIX`` after the name, contains the cut. With ``hang`` nothing passes
on connections to servers, and new ones time out. With ``refuse`` open connections work,
and new ones are refused. Callers, peers and the store are reached all the while.
"""

import os

import curio

from almondtide.entry import connections
from almondtide.entry.process import main
from almondtide.entry.relay import PEER_SERVICE
from almondtide.entry.upstreams import Failure

from .replacement import replace_attribute

__all__ = ["CUT_MODES", "CUT_SUFFIX", "install"]

CUT_SUFFIX = ".cut"
CUT_MODES = ("hang", "refuse")
POLL_S = 0.02


def _read_mode():
    """Return the present mode, or an empty text."""
    try:
        with open(os.environ["ALMONDTIDE_SETTINGS"] + CUT_SUFFIX) as file:
            return file.read().strip()
    except FileNotFoundError:
        return ""


def install(read_mode=_read_mode):
    """Let all connections to servers follow the mode."""
    connection_class = connections.Connection
    connect, send, receive = (
        connection_class._connect,
        connection_class._send,
        connection_class._receive,
    )

    def mode_for(connection):
        is_peer = connection.upstream.server.service == PEER_SERVICE
        return "" if is_peer else read_mode()

    async def connect_unless_cut(self):
        mode = mode_for(self)
        if mode == "refuse":
            await self._fail(Failure.NO_LISTENER, "connect")
            return False
        if mode == "hang":
            await curio.sleep(connections.CONNECT_TIMEOUT_S)
            await self._fail(Failure.NOT_SENT, "connect: timeout")
            return False
        return await connect(self)

    async def send_unless_cut(self, request, remaining_s):
        if mode_for(self) == "hang":
            self.exchange.on_write()
            return
        await send(self, request, remaining_s)

    async def receive_unless_cut(self, request):
        reply = None
        if mode_for(self) != "hang":
            reply = await receive(self, request)
        if mode_for(self) == "hang":
            while mode_for(self) == "hang":
                await curio.sleep(POLL_S)
            raise ConnectionResetError("cut")
        return reply

    replace_attribute(connection_class, "_connect", connect_unless_cut)
    replace_attribute(connection_class, "_send", send_unless_cut)
    replace_attribute(connection_class, "_receive", receive_unless_cut)


if __name__ == "__main__":
    install()
    main()
