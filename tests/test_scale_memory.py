"""Jobs of the scale test ``state``: the exit of a peer is the cause of a failure; the process is measured."""

from __future__ import annotations

import socket
import tracemalloc

import pytest

from scale.memory import connections
from scale.memory.forked_peer import fork_peer
from scale.memory.process import ProcessMemory
from scale.worker import Job, run_job


def test_a_peer_that_exits_ends_the_job_with_its_cause(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(_channel: socket.socket) -> None:
        raise OSError("no more of it")

    monkeypatch.setattr(connections, "fork_peer", lambda _run: fork_peer(fail))
    for job in (connections.memory_of_client_connections, connections.memory_of_endpoint_connections):
        with pytest.raises(ConnectionError, match=r"stand-in died.*no more of it"):
            job(4)
    tracemalloc.stop()  # a job does not stop it, and it would slow down all other tests


def test_the_memory_of_a_process_is_measured_after_load_and_churn() -> None:
    size = {"limiters": 3, "servers": 40, "services": 4, "tenants": 40, "rate": 30.0}
    arguments = {"size": size, "full_spread": True, "seed": 1, "load": 5.0, "churn": 60.0}
    memory = ProcessMemory(**run_job(Job("scale.memory.process:measure_process", arguments)))
    assert 5e6 < memory.at_start <= memory.with_list <= memory.after_load < 200e6
    assert memory.after_churn > 5e6
