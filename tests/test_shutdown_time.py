"""The time that a graceful shutdown takes at most."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.lifecycle import shutdown
from tests.loopback import SETTINGS


@pytest.mark.parametrize(("deadline", "kill"), [(0.7, 1.4), (2.0, 2.7), (3.0, 3.7), (9.0, 3.7), (0.0, 3.7)])
def test_shutdown_ends_before_sigkill_may_come(deadline: float, kill: float) -> None:
    """The longest deadline counts as at most 3 s, and 0.7 s are added; 0 is a deadline that is not given."""
    settings = replace(SETTINGS, classes=tuple(replace(c, deadline=deadline) for c in SETTINGS.classes))
    drained_at = shutdown.ACCEPT_PERIOD_SECONDS + shutdown.drain_timeout(settings)
    end = drained_at + shutdown.FLUSH_TIMEOUT_SECONDS
    assert kill - 0.3 < end < kill - 0.1
