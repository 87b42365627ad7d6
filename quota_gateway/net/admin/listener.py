"""The admin address: a connection carries one admin command and its reply.

Admin connections are separate from those of clients, so that neither load nor clients delay a reply. An admin
client that stalls occupies one connection until its timeout; at ``MAX_CONNECTIONS`` the oldest connection is
closed.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from quota_gateway import model
from quota_gateway.net.common.acceptor import Acceptor, create_bound_socket
from quota_gateway.net.common.socket_calls import peek, peek_transport

log = logging.getLogger(__name__)

MAX_COMMAND_BYTES = 256  # without the newline
MAX_CONNECTIONS = 16
COMMAND_TIMEOUT_SECONDS = 5.0  # the command must arrive within this time
# Time after the reply in which further input is read and discarded: closing a connection with unread input
# resets it.
LINGER_SECONDS = 0.5

COMMANDS = {command.value.encode(): command for command in model.AdminCommand}
COMMANDS_WITH_ENDPOINT = (model.AdminCommand.SUSPEND, model.AdminCommand.RESTORE)
SUCCESS_REPLY = "SUCCESS\n"
FAILURE_REPLY = "FAILURE\n"
END_OF_METRICS = "EOT\n"


class CommandReply(NamedTuple):
    """The reply to a command."""

    succeeded: bool
    metrics: str = ""  # empty unless the command is METRICS


ReplyCallback = Callable[[CommandReply], None]


class _Command(NamedTuple):
    """A parsed command."""

    kind: model.AdminCommand
    endpoint: str  # empty if the command takes none


def _parse_command(line: bytes) -> _Command | None:
    """Parse a command without its newline; return None if it is malformed."""
    name, *arguments = line.removesuffix(b"\r").split(b" ")
    kind = COMMANDS.get(name)
    argument_count = 1 if kind in COMMANDS_WITH_ENDPOINT else 0
    if kind is None or len(arguments) != argument_count or not all(arguments):
        return None
    return _Command(kind, arguments[0].decode("utf-8", "replace") if arguments else "")


class AdminHandler(Protocol):
    """Executes the commands of operators."""

    def on_admin_command(self, command: model.AdminCommand, endpoint: str, reply: ReplyCallback) -> None:
        """Execute a command and call ``reply`` once; ``endpoint`` is empty if the command takes none."""


def _ignore_reply(_reply: CommandReply) -> None:
    """Handle the reply to a command that will be executed and answered once more."""


class _AdminConnection(asyncio.Protocol):
    """One connection to the admin address, which carries one command."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._command_text = b""
        self._is_input_complete = False  # a command or an overlong line was received, or the timeout is over
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the command's timeout."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses
        self._timer = asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_SECONDS, self._on_timeout)
        self._listener.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and unregister the connection."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._listener.unregister(self)

    def data_received(self, data: bytes) -> None:
        """Collect input up to a newline and execute the command; reply with a failure to an overlong line."""
        if self._is_input_complete:
            return
        command_text, newline, _ = (self._command_text + data).partition(b"\n")
        self._command_text = command_text[: MAX_COMMAND_BYTES + 1]
        if len(self._command_text) > MAX_COMMAND_BYTES:
            self._reply(CommandReply(succeeded=False))
        elif newline:
            self._execute()

    def eof_received(self) -> bool:
        """Treat the end of the input as the end of the line; keep the transport open for the reply."""
        if not self._is_input_complete:
            self._execute()
        return True

    def _execute(self) -> None:
        self._is_input_complete = True
        command = _parse_command(self._command_text)
        if command is None:
            self._reply(CommandReply(succeeded=False))
            return
        self._listener.handler.on_admin_command(command.kind, command.endpoint, self._reply)

    def unread_line(self) -> bytes:
        """Return the line of the command if its rest has arrived and is unread; otherwise nothing."""
        if self._is_input_complete or self._transport is None:
            return b""
        return _complete_line(self._command_text + peek_transport(self._transport, MAX_COMMAND_BYTES + 1))

    def _on_timeout(self) -> None:
        if not self._is_input_complete:
            self._reply(CommandReply(succeeded=False))

    def _reply(self, reply: CommandReply) -> None:
        self._is_input_complete = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._timer is not None:
            self._timer.cancel()
        if not reply.succeeded:
            text = FAILURE_REPLY
        elif reply.metrics:
            text = reply.metrics + END_OF_METRICS
        else:
            text = SUCCESS_REPLY
        self._transport.write(text.encode())
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Close the connection without flushing its write buffer."""
        if self._transport is not None:
            self._transport.abort()


def _complete_line(data: bytes) -> bytes:
    """Return the first line without its newline; nothing if it is incomplete or too long."""
    line, newline, _ = data.partition(b"\n")
    return line if newline and len(line) <= MAX_COMMAND_BYTES else b""


class AdminListener:
    """Listens on the admin address; keeps at most ``MAX_CONNECTIONS`` connections open."""

    def __init__(self, handler: AdminHandler) -> None:
        """``handler`` executes the commands of all connections."""
        self.handler = handler
        self._connections = dict[_AdminConnection, None]()  # oldest first
        self._socket: socket.socket | None = None  # bound
        self._acceptor: Acceptor | None = None
        self._is_reading_late_input = False

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Bind, and accept connections at once; return the address. Raises ``OSError``."""
        await self.bind(host, port)
        return self.start_accepting()

    async def bind(self, host: str, port: int) -> None:
        """Reserve an address without accepting connections; raise ``OSError`` if it is in use."""
        self._socket = await create_bound_socket(host, port)

    def start_accepting(self) -> tuple[str, int]:
        """Accept connections at the bound address from now on, and return it. Raises ``OSError``."""
        assert self._socket is not None
        self._acceptor = Acceptor(
            self._socket, lambda: _AdminConnection(self), self._on_accept_error, self._on_accepted
        )
        return self._acceptor.address

    def _on_accept_error(self, error: OSError) -> None:
        log.warning("accepting a connection to the admin address failed, continuing to accept: %s", error)

    def suspend_received(self) -> None:
        """Execute the SUSPEND commands that have arrived and that the event loop has not read yet.

        They bind whether or not they have been read. The event loop reads them later, executes them once
        more, which changes nothing, and replies.
        """
        for connection in list(self._connections):
            self._suspend(connection.unread_line())
        if self._acceptor is not None:
            self._is_reading_late_input = True
            try:
                self._acceptor.accept_waiting()
            finally:
                self._is_reading_late_input = False

    def _on_accepted(self, accepted: socket.socket) -> None:
        if self._is_reading_late_input:
            self._suspend(_complete_line(peek(accepted.fileno(), MAX_COMMAND_BYTES + 1)))

    def _suspend(self, line: bytes) -> None:
        command = _parse_command(line)
        if command is not None and command.kind is model.AdminCommand.SUSPEND:
            self.handler.on_admin_command(command.kind, command.endpoint, _ignore_reply)

    def register(self, connection: _AdminConnection) -> None:
        """Register a connection; at the limit, close the oldest one."""
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            oldest.abort()
        self._connections[connection] = None

    def unregister(self, connection: _AdminConnection) -> None:
        """Unregister a connection that has ended."""
        self._connections.pop(connection, None)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        acceptor = self._acceptor
        self._acceptor = None
        if acceptor is not None:
            await acceptor.close()
        for connection in list(self._connections):
            connection.abort()
