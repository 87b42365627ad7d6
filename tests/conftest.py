"""Fixtures that several test files share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from quota_gateway.net import invariants
from tests.simulation import GatewaySimulation, start_simulation


@pytest.fixture(autouse=True)
def no_violations() -> Iterator[list[invariants.Violation]]:
    """Fail each test in which an invariant is violated; one that provokes a violation removes it here."""
    violations = list[invariants.Violation]()
    invariants.observers.append(violations.append)
    yield violations
    invariants.observers.remove(violations.append)
    assert violations == []


@pytest.fixture
def simulation() -> GatewaySimulation:
    """One gateway with the default settings that knows three endpoints."""
    return start_simulation("s0", "s1", "s2")
