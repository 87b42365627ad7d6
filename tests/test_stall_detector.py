"""``StallDetector``: input or a signal must not count as newer than it may be.

Otherwise the time that it has waited during a stall would be ignored.
"""

from __future__ import annotations

from quota_gateway.net.client.stall_detector import (
    HEARTBEAT_INTERVAL_SECONDS,
    STALL_RECOVERY_SECONDS,
    StallDetector,
)


def test_input_has_waited_at_most_one_heartbeat_while_the_event_loop_runs() -> None:
    stalls = StallDetector(100.0)
    now = 100.0
    for _ in range(30):
        now += HEARTBEAT_INTERVAL_SECONDS
        stalls.record_iteration(now)
    stalls.record_iteration(now)  # a second call in the same iteration
    assert stalls.input_arrived_after(now) == now - HEARTBEAT_INTERVAL_SECONDS
    assert not stalls.is_after_stall(now)


def test_input_may_have_arrived_before_the_start_of_the_process() -> None:
    stalls = StallDetector(100.0)
    stalls.record_iteration(100.1)
    assert stalls.is_after_stall(100.1)
    assert stalls.input_arrived_after(100.1) < 50.0
    assert not stalls.is_after_stall(100.0 + STALL_RECOVERY_SECONDS)


def test_second_stall_does_not_hide_the_first_one() -> None:
    """Input that arrived during the first stall may still be unread when the second one begins."""
    stalls = StallDetector(0.0)
    for step in range(1, 51):
        stalls.record_iteration(0.1 * step)
    stalls.record_iteration(8.0)  # the stall began at 5.0
    stalls.record_iteration(8.5)
    assert stalls.input_arrived_after(8.5) == 5.0
    stalls.record_iteration(8.6)
    assert stalls.input_arrived_after(8.6) == 5.0
    for step in range(1, 20):
        stalls.record_iteration(8.6 + 0.1 * step)
    assert stalls.input_arrived_after(10.5) > 10.0


def test_signal_may_have_been_sent_at_any_time_during_a_stall() -> None:
    stalls = StallDetector(100.0)
    assert stalls.signal_sent_after(100.05) == 100.05  # the start is no stall: no signal was sent before it
    for step in range(1, 21):
        stalls.record_iteration(100.0 + 0.1 * step)
    stalls.record_iteration(105.0)
    assert stalls.signal_sent_after(105.01) == 102.0
    stalls.record_iteration(105.1)
    assert stalls.signal_sent_after(105.11) == 105.11  # a signal sent during the stall was handled earlier
    for step in range(1, 21):
        stalls.record_iteration(105.0 + 0.1 * step)
    assert stalls.signal_sent_after(107.0) == 107.0
