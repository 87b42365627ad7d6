"""The shared counter of one simulated limiter; its totals include an assumed usage of the other limiters."""

from __future__ import annotations

import sys
from typing import NamedTuple

from quota_gateway import model
from quota_gateway.state import Account
from scale.synthetic_inputs import PLAN_NAME, LoadMix

# Estimated bytes of the objects in the tables.
_INT_BYTES = 32
_FLOAT_BYTES = 24
_TUPLE_BYTES = 64


class _Total(NamedTuple):
    """The total of one counter."""

    units: float
    updated_at: float
    started_at: float


class SimulatedCounter:
    """Adds up the increments of one limiter and the assumed usage of the other limiters.

    All limiters that serve a tenant use equal parts of its demand or of its quota, whichever is lower.
    """

    def __init__(self, *, quota: float, spread: int, mix: LoadMix) -> None:
        """Each tenant has a quota of ``quota`` units a second, and ``spread`` limiters serve it."""
        self._quota = quota
        self._spread = spread
        self._mix = mix
        self._tenant_by_counter = dict[int, int]()
        self._totals = dict[int, _Total]()

    def register(self, tenant: int, account: str) -> None:
        """Record which tenant the counter of an account belongs to."""
        # The id of the counter is a hash that the decisions compute from the account.
        counter_id = Account(0.0, model.Plan(PLAN_NAME), account).counter_id
        self._tenant_by_counter.setdefault(counter_id, tenant)

    def increment(self, now: float, action: model.IncrementCounter) -> float:
        """Add an increment and return the total."""
        other_usage = self._quota * self._demand_of(action.counter_id) * (self._spread - 1) / self._spread
        new_total = _Total(0.0, now, now)
        total = self._totals.get(action.counter_id, new_total)
        if now - total.started_at > action.lifetime:
            total = new_total
        units = total.units + (other_usage * (now - total.updated_at) + action.amount)
        self._totals[action.counter_id] = _Total(units, now, total.started_at)
        return units

    def delete_tenants_before(self, first_tenant: int) -> None:
        """Delete the counters of the tenants with a lower number."""
        self._tenant_by_counter = {
            counter_id: tenant
            for counter_id, tenant in self._tenant_by_counter.items()
            if tenant >= first_tenant
        }
        self._totals = {
            counter_id: total
            for counter_id, total in self._totals.items()
            if counter_id in self._tenant_by_counter
        }

    def table_bytes(self) -> int:
        """Return the memory that the tables use."""
        tenant_bytes = 2 * _INT_BYTES
        total_bytes = 3 * _FLOAT_BYTES + _TUPLE_BYTES + _INT_BYTES
        return (
            sys.getsizeof(self._tenant_by_counter)
            + sys.getsizeof(self._totals)
            + tenant_bytes * len(self._tenant_by_counter)
            + total_bytes * len(self._totals)
        )

    def _demand_of(self, counter_id: int) -> float:
        """Return a tenant's demand divided by its quota, at most 1.

        The limiter still reports usage of deleted tenants for a while; their demand is taken as the mean.
        """
        tenant = self._tenant_by_counter.get(counter_id)
        return min(1.0, self._mix.demand if tenant is None else self._mix.demand_of(tenant))
