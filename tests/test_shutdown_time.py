"""Graceful shutdown: it ends before the platform sends SIGKILL, and uses most of the time until then."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.lifecycle import shutdown
from tests.loopback import SETTINGS


@pytest.mark.parametrize(
    ("deadline", "kill_delay"), [(0.7, 1.4), (2.0, 2.7), (3.0, 3.7), (9.0, 3.7), (0.0, 3.7)]
)
def test_shutdown_ends_before_the_platform_sends_sigkill(deadline: float, kill_delay: float) -> None:
    """The platform sends SIGKILL 0.7 s after the longest deadline has passed.

    A deadline over 3 s counts as 3 s, and so does a deadline of 0, which means that there is none.
    """
    settings = replace(
        SETTINGS,
        classes=tuple(replace(request_class, deadline=deadline) for request_class in SETTINGS.classes),
    )
    drained_at = shutdown.ACCEPT_PERIOD_SECONDS + shutdown.drain_timeout(settings)
    end = drained_at + shutdown.FLUSH_TIMEOUT_SECONDS
    assert kill_delay - 0.3 < end < kill_delay - 0.1
