"""A forked process at the other end of the measured connections; its memory is not measured."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

FINISHED = b"done"
MESSAGE_TIMEOUT_SECONDS = 30.0
MAX_MESSAGE_BYTES = 256


def fork_peer(run: Callable[[socket.socket], None]) -> socket.socket:
    """Run a peer in a forked process and return the channel to it. If ``run`` raises, its error is sent."""
    parent_end, child_end = socket.socketpair()
    if os.fork() == 0:
        parent_end.close()
        try:
            run(child_end)
        except Exception as error:  # noqa: BLE001 - reported to the parent process
            child_end.sendall(f"{error!r:.200}".encode())
        finally:
            os._exit(0)  # closes the channel, which ends the wait for a message
    child_end.close()
    parent_end.settimeout(MESSAGE_TIMEOUT_SECONDS)
    return parent_end


async def wait_finished(channel: socket.socket) -> None:
    """Wait until the peer has finished. Raise ``ConnectionError`` with the peer's error if it failed."""
    message = await asyncio.to_thread(channel.recv, MAX_MESSAGE_BYTES)
    if message != FINISHED:
        raise ConnectionError(f"the forked peer failed: {message.decode() or 'it exited without a message'}")
