"""Fixtures that several test files share."""

from __future__ import annotations

import pytest

from tests.simulation import GatewaySimulation, start_simulation


@pytest.fixture
def simulation() -> GatewaySimulation:
    """One gateway with the default settings that knows three endpoints."""
    return start_simulation("s0", "s1", "s2")
