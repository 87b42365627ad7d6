"""The jobs of the scale test ``state``: they report the error of their forked peer if it fails.

A timeout or a broken connection would hide the error. The whole-process job returns plausible memory.
"""

from __future__ import annotations

import socket
import tracemalloc

import pytest

from scale.memory import connections
from scale.memory.forked_peer import fork_peer
from scale.memory.process import ProcessMemory
from scale.worker import Job, run_job


def test_a_job_fails_with_the_error_of_its_forked_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_channel: socket.socket) -> None:
        raise OSError("out of descriptors")

    monkeypatch.setattr(connections, "fork_peer", lambda _run: fork_peer(fail))
    for job in (connections.memory_of_client_connections, connections.memory_of_endpoint_connections):
        with pytest.raises(ConnectionError, match=r"forked peer failed.*out of descriptors"):
            job(4)
    tracemalloc.stop()  # the jobs leave it running, which would slow down all other tests


def test_the_process_job_measures_memory_after_load_and_after_churn() -> None:
    size = {"limiters": 3, "servers": 40, "services": 4, "tenants": 40, "rate": 30.0}
    arguments = {"size": size, "full_spread": True, "seed": 1, "load": 5.0, "churn": 60.0}
    memory = ProcessMemory(**run_job(Job("scale.memory.process:measure_process", arguments)))
    assert 5e6 < memory.at_start <= memory.with_list <= memory.after_load < 200e6
    assert memory.after_churn > 5e6
