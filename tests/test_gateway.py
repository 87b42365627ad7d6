"""Input of the gateway."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests import world as w


def test_odd_but_legal_input() -> None:
    world = w.World(w.settings())
    gateway = world.gateway
    refused = world.feed(w.request(1))  # no server known yet
    assert any(isinstance(a, model.Reject) for a in refused)
    world.feed(model.EndpointUpdate((), True))
    world.feed(w.request(2, "unknown class", "unknown plan", ttl=0.0))
    assert world.answered[2] == "refused"
    assert gateway.handle(world.now, model.CounterReplied(123, model.CallStatus.OK, 5.0)) == []
    assert gateway.handle(world.now, model.ClientDisconnected(77)) == []
    assert gateway.handle(world.now, model.TimerFired(10**9)) == []
    assert gateway.handle(world.now, model.HealthChecked("nobody", model.CallStatus.OK, 0.1, {})) == []
    assert (
        gateway.handle(world.now, model.AttemptCompleted(5, 3, "nobody", model.CallStatus.OK, 0.1, True, {}))
        == []
    )


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
def test_impossible_settings_name_the_key(field: str, value: float) -> None:
    with pytest.raises(ValueError, match=field):
        Gateway(w.settings(**{field: value}), 1, 0.0)
