"""The second address: operators ask one line a connection, and get one answer at once.

It has connections of its own, so neither load nor clients on the first address reach it. Callers that
stall hold a connection for some seconds and nothing else; there is a bound on them, and the oldest goes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from quota_gateway import model

log = logging.getLogger(__name__)

MAX_LINE = 256
MAX_CALLERS = 16
PATIENCE = 5.0  # seconds that a caller may take for its line
LINGER = 0.5  # seconds that a caller's further input is read, or a reset would eat the answer
VERBS = {verb.value.encode(): verb for verb in model.AdminCommand}
TAKES_ID = (model.AdminCommand.SUSPEND, model.AdminCommand.RESTORE)


class AdminHandler(Protocol):
    """What answers the calls: the node."""

    def on_admin_command(
        self, verb: model.AdminCommand, server: str, done: Callable[[bool, str], None]
    ) -> None:
        """Answer by yes or no, and by the figures where they were asked for."""


class _AdminConnection(asyncio.Protocol):
    def __init__(self, mgmt: AdminListener) -> None:
        self._mgmt, self._line, self._asked = mgmt, b"", False
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._timer = asyncio.get_running_loop().call_later(PATIENCE, self._give_up)
        self._mgmt.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._mgmt.disconnected(self)

    def data_received(self, data: bytes) -> None:
        if self._asked:
            return
        line, end, _ = (self._line + data).partition(b"\n")
        self._line = line[: MAX_LINE + 1]
        if len(self._line) > MAX_LINE:
            self._answer(False)
        elif end:
            self._ask()

    def eof_received(self) -> bool:
        if not self._asked:
            self._ask()  # the end of its input ends the line as well
        return True  # the answer still goes out

    def _ask(self) -> None:
        self._asked = True
        verb, *rest = self._line.removesuffix(b"\r").split(b" ")
        known = VERBS.get(verb)
        if known is None or len(rest) != (known in TAKES_ID) or not all(rest):
            self._answer(False)
        else:
            self._mgmt.handler.on_admin_command(
                known, rest[0].decode("utf-8", "replace") if rest else "", self._answer
            )

    def _give_up(self) -> None:
        if not self._asked:
            self._answer(False)

    def _answer(self, ok: bool, figures: str = "") -> None:
        self._asked = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._timer is not None:
            self._timer.cancel()
        reply = f"{figures}EOT\n" if ok and figures else "SUCCESS\n" if ok else "FAILURE\n"
        self._transport.write(reply.encode())
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminListener:
    """The listener of the second address."""

    def __init__(self, desk: AdminHandler) -> None:
        self.handler = desk
        self._callers = dict[_AdminConnection, None]()  # in the order of their coming
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _AdminConnection(self), host, port)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    def connected(self, caller: _AdminConnection) -> None:
        if len(self._callers) >= MAX_CALLERS:
            next(iter(self._callers)).abort()
        self._callers[caller] = None

    def disconnected(self, caller: _AdminConnection) -> None:
        self._callers.pop(caller, None)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.abort()
