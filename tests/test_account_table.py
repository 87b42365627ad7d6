"""AccountTable: accounts without recent requests do not stay in memory."""

from __future__ import annotations

from tests.simulation import GatewaySimulation, make_request

CUSTOMERS = 500


def test_accounts_are_removed_after_an_idle_minute(simulation: GatewaySimulation) -> None:
    for request_id in range(CUSTOMERS):
        simulation.advance_to(simulation.now + 0.01)
        plan = "small" if request_id % 2 else "free"
        simulation.feed(make_request(request_id, "read", plan, f"once{request_id}"))
        simulation.reply_to_counter_calls()
        simulation.complete_attempts()
    table = simulation.gateway.account_table
    assert len(table.accounts) == CUSTOMERS
    simulation.advance_to(simulation.now + 70)
    assert not table.accounts
    assert not table.by_counter_id
