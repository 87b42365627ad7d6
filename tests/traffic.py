"""Request traffic for one simulated gateway."""

from __future__ import annotations

from quota_gateway import model
from tests.simulation import GatewaySimulation, make_request


def send_steadily(
    simulation: GatewaySimulation,
    seconds: float,
    rate: float,
    first_id: int,
    elapsed: float = 0.1,
    request_class: str = "read",
) -> int:
    """Send requests at a steady rate, complete each at once, and return the next request id."""
    next_id = first_id + int(seconds * rate)
    for request_id in range(first_id, next_id):
        simulation.advance_to(simulation.now + 1 / rate)
        simulation.feed(make_request(request_id, request_class))
        simulation.complete_attempts(elapsed=elapsed)
    return next_id


def send_with_small_plan(
    simulation: GatewaySimulation,
    first_id: int,
    count: int,
    interval: float,
    counter_status: model.CallStatus = model.CallStatus.OK,
) -> int:
    """Send requests of one customer on the small plan, and return how many of them were forwarded."""
    forwarded_before = len(simulation.forwarded)
    for request_id in range(first_id, first_id + count):
        simulation.advance_to(simulation.now + interval)
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.reply_to_counter_calls(counter_status)
        simulation.complete_attempts()
    return len(simulation.forwarded) - forwarded_before
