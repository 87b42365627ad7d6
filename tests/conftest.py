"""Fixtures that several test files share."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from quota_gateway.net.common import invariants
from soak.fault_control import build_library
from tests.gateway_process import ProcessFaults
from tests.simulation import GatewaySimulation, start_simulation


@pytest.fixture(autouse=True)
def no_violations() -> Iterator[list[invariants.Violation]]:
    """Fail each test in which an invariant is violated; a test that provokes violations clears this list."""
    violations = list[invariants.Violation]()
    invariants.observers.append(violations.append)
    yield violations
    invariants.observers.remove(violations.append)
    assert violations == []


@pytest.fixture
def simulation() -> GatewaySimulation:
    """One gateway with the default settings that knows three endpoints."""
    return start_simulation("s0", "s1", "s2")


@pytest.fixture(scope="session")
def fault_library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Path of the library that makes system calls fail in a process that loads it."""
    return build_library(tmp_path_factory.mktemp("fault-library"))


@pytest.fixture
def faults(fault_library: Path, tmp_path: Path) -> Iterator[ProcessFaults]:
    """Faults to inject into one process; none is active at first."""
    process_faults = ProcessFaults(fault_library, tmp_path)
    yield process_faults
    process_faults.control.close()
