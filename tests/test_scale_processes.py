"""Child processes of the scale tests: an unexpected exit fails the run, and reserved ports are not taken."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

import pytest

from scale.model import RunFailedError
from scale.processes import guard, start_stand_ins
from scale.reserved_port import LOOPBACK, reserved_port
from scale.stand_ins.control import Setup
from scale.stand_ins.counter import CounterSpec
from scale.stand_ins.endpoints import EndpointsSpec
from tests.loopback import async_test


@async_test
async def test_a_kill_of_the_stand_ins_fails_the_run_with_their_exit_code(tmp_path: Path) -> None:
    setup = Setup(4, EndpointsSpec(), CounterSpec(), 1)
    async with start_stand_ins(tmp_path, setup) as stand_ins:
        os.kill(stand_ins.process.pid, signal.SIGKILL)
        with pytest.raises(RunFailedError, match="the stand-ins exited with code -9"):
            await guard(asyncio.sleep(10), stand_ins)
        with pytest.raises(RunFailedError, match="the stand-ins exited with code -9"):
            await stand_ins.stats()


def test_a_reserved_port_is_free_for_a_listener_and_for_no_other_socket() -> None:
    with reserved_port() as port:
        socket.create_server((LOOPBACK, port)).close()
        with socket.socket() as other, pytest.raises(OSError, match="Address already in use"):
            other.bind((LOOPBACK, port))
