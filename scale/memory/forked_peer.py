"""The other end of a limiter's connections, in a forked process: its memory is not the limiter's."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

FINISHED = b"done"
MESSAGE_TIMEOUT = 30.0  # seconds
MAX_MESSAGE = 256  # bytes


def fork_peer(run: Callable[[socket.socket], None]) -> socket.socket:
    """Run a peer in a forked process; gives the channel to it. Its error is written there."""
    ours, theirs = socket.socketpair()
    if os.fork() == 0:
        ours.close()
        try:
            run(theirs)
        except Exception as error:
            theirs.sendall(f"{error!r:.200}".encode())
        finally:
            os._exit(0)  # its end of the channel closes, and so ends the wait for its message
    theirs.close()
    ours.settimeout(MESSAGE_TIMEOUT)
    return ours


async def wait_finished(channel: socket.socket) -> None:
    """Wait until the peer has finished; ``ConnectionError`` where it died, with its own error."""
    message = await asyncio.to_thread(channel.recv, MAX_MESSAGE)
    if message != FINISHED:
        raise ConnectionError(f"a stand-in died: {message.decode() or 'without a word'}")
