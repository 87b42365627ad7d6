"""EndpointState and its parts: their methods keep the invariants of the class."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.state import EndpointState
from quota_gateway.state.consecutive_failures import ConsecutiveFailures
from quota_gateway.state.slow_start_allowance import SlowStartAllowance
from quota_gateway.state.slowdown import Slowdown

NOW = 100.0  # Unix time


@pytest.fixture
def state() -> EndpointState:
    """Return a warm endpoint without attempts."""
    return EndpointState(model.Endpoint("s0", model.EndpointHealth.HEALTHY, "a"))


def test_unresponsive_since_is_the_first_attempt_or_a_later_sign_of_life(
    state: EndpointState,
) -> None:
    for started_at in (NOW, NOW + 1):
        state.start_attempt(0.1)
        state.wait_for_response(started_at)
    assert state.unresponsive_since == NOW
    state.finish_attempt(0.1)
    state.record_sign_of_life(NOW + 2)
    assert state.unresponsive_since == NOW + 2


def test_no_response_is_expected_once_the_last_attempt_has_ended(state: EndpointState) -> None:
    state.start_attempt(0.1)
    state.wait_for_response(NOW)
    state.finish_attempt(0.1)
    assert state.unresponsive_since == NOW  # outlier detection still needs it
    state.stop_waiting_if_idle()
    assert state.unresponsive_since is None


def test_rounding_errors_leave_no_work_in_flight(state: EndpointState) -> None:
    works = [0.1, 0.2, 0.3]
    for work in works:
        state.start_attempt(work)
    for work in works:
        state.finish_attempt(work)
    assert state.work_in_flight == 0


def test_attempts_use_the_allowance_only_while_the_endpoint_is_warming_up(state: EndpointState) -> None:
    state.start_attempt(0.1)
    assert state.allowance.work == 0
    state.start_warming_up(NOW)
    state.start_attempt(0.1)
    assert state.allowance.work == pytest.approx(-0.1)


def test_a_half_open_endpoint_recovers_with_a_good_response(state: EndpointState) -> None:
    state.eject(NOW, duration=3.0, failure_rate=0.2)
    assert (state.ejected_until, state.half_open) == (NOW + 3, True)
    state.recover(NOW + 4)
    assert not state.half_open
    assert state.warming_since is None


def test_an_unreachable_endpoint_begins_a_slow_start_with_its_next_good_response(
    state: EndpointState,
) -> None:
    state.mark_unreachable()
    state.recover(NOW)
    assert not state.unreachable
    assert state.warming_since == NOW


def test_connections_that_are_lost_together_count_as_one_failure() -> None:
    failures = ConsecutiveFailures()
    for _ in range(3):  # all attempts began before the first failure
        failures.record_connection_failure(NOW, 1.0, is_independent=False)
    assert failures.connection_failures == 1
    failures.record_connection_failure(NOW + 2, 1.0, is_independent=False)
    assert failures.connection_failures == 2
    failures.record_connection_failure(NOW + 2, 1.0, is_independent=True)
    assert failures.connection_failures == 3


def test_a_response_resets_both_failure_counts() -> None:
    failures = ConsecutiveFailures()
    failures.record_timeout()
    failures.record_connection_failure(NOW, 0.1, is_independent=True)
    failures.record_response()
    assert (failures.timeouts, failures.connection_failures) == (0, 0)


def test_an_allowance_is_refilled_up_to_its_capacity() -> None:
    allowance = SlowStartAllowance()
    allowance.reset(NOW)
    allowance.refill(NOW + 1, rate=2.0, capacity=5.0)
    assert allowance.work == 2.0
    allowance.refill(NOW + 10, rate=2.0, capacity=5.0)
    assert allowance.work == 5.0
    allowance.spend(7.0)
    assert allowance.work == -2.0


def test_an_allowance_is_not_refilled_for_the_time_before_its_clock_is_restarted() -> None:
    allowance = SlowStartAllowance()
    allowance.restart_clock(NOW)
    allowance.refill(NOW + 1, rate=2.0, capacity=1000.0)
    assert allowance.work == 2.0


def test_the_first_response_of_an_incarnation_replaces_the_mean_slowdown() -> None:
    slowdown = Slowdown()
    slowdown.record(4.0, 0.1)
    slowdown.reset()
    slowdown.record(1.5, 0.1)
    assert slowdown.mean == pytest.approx(1.5)
    assert slowdown.recent == 1.5
