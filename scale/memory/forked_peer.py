"""The other end of a limiter's connections, in a forked process, whose memory is not measured."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

FINISHED = b"done"
MESSAGE_TIMEOUT_SECONDS = 30.0
MAX_MESSAGE_BYTES = 256


def fork_peer(run: Callable[[socket.socket], None]) -> socket.socket:
    """Run a peer in a forked process and return the channel to it; the peer sends its error there."""
    ours, theirs = socket.socketpair()
    if os.fork() == 0:
        ours.close()
        try:
            run(theirs)
        except Exception as error:  # noqa: BLE001 - reported to the parent process
            theirs.sendall(f"{error!r:.200}".encode())
        finally:
            os._exit(0)  # closes the channel, which ends the wait for a message
    theirs.close()
    ours.settimeout(MESSAGE_TIMEOUT_SECONDS)
    return ours


async def wait_finished(channel: socket.socket) -> None:
    """Wait until the peer has finished. Raise ``ConnectionError`` with its error if it failed."""
    message = await asyncio.to_thread(channel.recv, MAX_MESSAGE_BYTES)
    if message != FINISHED:
        raise ConnectionError(f"a stand-in died: {message.decode() or 'no error sent'}")
