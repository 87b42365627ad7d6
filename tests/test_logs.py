"""Log rate limit: a fault that repeats with every request must not fill the disk."""

from __future__ import annotations

import logging

from quota_gateway.logs import RateLimitFilter


def test_a_flood_of_log_lines_is_rate_limited() -> None:
    rate_limit = RateLimitFilter(3)
    record = logging.LogRecord("x", 20, "", 0, "text", (), None)
    passed = sum(rate_limit.filter(record) for _ in range(1000))
    assert 3 <= passed <= 9  # at most 3 per second, and the loop may take up to 3 seconds on a slow machine
