"""The stall detector: the earliest time at which input or a signal may have arrived."""

from __future__ import annotations

from quota_gateway.net.client.stall_detector import (
    AFTERMATH_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    StallDetector,
)


def test_input_has_waited_at_most_one_heartbeat_while_the_event_loop_runs() -> None:
    stalls = StallDetector(100.0)
    now = 100.0
    for _ in range(30):
        now += HEARTBEAT_INTERVAL_SECONDS
        stalls.mark(now)
    stalls.mark(now)  # a second mark of the same iteration
    assert stalls.unread_since(now) == now - HEARTBEAT_INTERVAL_SECONDS
    assert not stalls.is_after_stall(now)


def test_input_may_have_arrived_before_the_start_of_the_process() -> None:
    stalls = StallDetector(100.0)
    stalls.mark(100.1)
    assert stalls.is_after_stall(100.1)
    assert stalls.unread_since(100.1) < 50.0
    assert not stalls.is_after_stall(100.0 + AFTERMATH_SECONDS)


def test_second_stall_does_not_hide_the_first_one() -> None:
    """Input that arrived during the first stall may still be unread when the second one begins."""
    stalls = StallDetector(0.0)
    for step in range(1, 51):
        stalls.mark(0.1 * step)
    stalls.mark(8.0)  # the stall began at 5.0
    stalls.mark(8.5)
    assert stalls.unread_since(8.5) == 5.0
    stalls.mark(8.6)
    assert stalls.unread_since(8.6) == 5.0
    for step in range(1, 20):
        stalls.mark(8.6 + 0.1 * step)
    assert stalls.unread_since(10.5) > 10.0


def test_signal_may_have_been_sent_at_any_time_during_a_stall() -> None:
    stalls = StallDetector(100.0)
    assert stalls.signal_sent_after(100.05) == 100.05  # the start is no stall: no signal was sent before it
    for step in range(1, 21):
        stalls.mark(100.0 + 0.1 * step)
    stalls.mark(105.0)
    assert stalls.signal_sent_after(105.01) == 102.0
    stalls.mark(105.1)
    assert stalls.signal_sent_after(105.11) == 105.11  # one sent during the stall was handled earlier
    for step in range(1, 21):
        stalls.mark(105.0 + 0.1 * step)
    assert stalls.signal_sent_after(107.0) == 107.0
