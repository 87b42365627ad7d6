"""Gateway: unusual but legal events are rejected or ignored, and invalid settings raise an error."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests.simulation import GatewaySimulation, Outcome, make_request, make_settings


def test_unusual_but_legal_events_are_rejected_or_ignored() -> None:
    simulation = GatewaySimulation(make_settings())
    now = simulation.now
    gateway = simulation.gateway
    actions = simulation.feed(make_request(1))  # before the first endpoint list
    assert any(isinstance(action, model.Reject) for action in actions)
    simulation.feed(model.EndpointUpdate((), complete=True))
    simulation.feed(make_request(2, "unknown class", "unknown plan", timeout=0.0))
    assert simulation.outcomes[2] is Outcome.REJECTED
    assert gateway.handle(now, model.CounterReplied(123, model.CallStatus.OK, 5.0)) == []
    assert gateway.handle(now, model.ClientDisconnected(77)) == []
    assert gateway.handle(now, model.TimerFired(10**9)) == []
    assert gateway.handle(now, model.HealthChecked("unknown", model.CallStatus.OK, 0.1, {})) == []
    completed = model.AttemptCompleted(
        5, 3, "unknown", model.CallStatus.OK, 0.1, request_finished=True, load_report={}
    )
    assert gateway.handle(now, completed) == []


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("gateway_count", 0),
        ("max_attempts", 0),
        ("initial_capacity", 0.0),
        ("overload_window", 0.0),
        ("warm_up_time", -1.0),
    ],
)
def test_error_for_invalid_settings_names_the_field(field: str, value: float) -> None:
    with pytest.raises(ValueError, match=field):
        Gateway(make_settings(**{field: value}), 1, 0.0)
