"""Settings of the decisions: request classes, customers' plans and what the platform allows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_OBJECTIVE = 0.01  # seconds: latency objective of an unknown class, at least
MIN_POSITIVE = 1e-9  # below this a share or a time counts as none


class InvalidSettingsError(ValueError):
    """Settings that no gateway can run with; the text names the field and the least value allowed."""


class Idempotency(Enum):
    """What a second execution of a request would do."""

    INHERENT = "inherent"  # nothing: the request may be repeated anywhere
    KEYED = "keyed"  # nothing within the scope and window in which its idempotency key is known
    NONE = "none"  # harm: never repeated once it may have run


class DeduplicationScope(Enum):
    """The group of endpoints that drops repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request with its objectives."""

    name: str
    latency_objective: float  # seconds
    priority_weight: float  # value of one answer in time
    idempotency: Idempotency
    late_weight: float = 0.0  # value of an answer after the objective and before the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # seconds for which an idempotency key is remembered
    deadline: float = 0.0  # seconds that the client waits over all its attempts; 0: not known

    @classmethod
    def unknown(cls, name: str, timeout: float) -> RequestClass:
        """Terms of a class that the settings do not name: never repeated, the client's time its objective."""
        return cls(name, max(timeout, MIN_OBJECTIVE), 1.0, Idempotency.NONE)


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's contract. Quotas are counted in units over all gateways together."""

    name: str
    price: float = 1.0  # factor on the priority weight
    rate: float = 0.0  # units a second; 0: no quota
    burst: float = 0.0  # units that the quota's bucket holds
    concurrency_limit: int = 0  # requests in flight; 0: no limit
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0  # units a second that are never exceeded; 0: no ceiling
    ceiling_burst: float = 0.0  # units


@dataclass(frozen=True, slots=True)
class Settings:
    """All that the decisions are configured with."""

    gateway_index: int  # place of this gateway among all, from 0
    gateway_count: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int = 1  # per request
    may_hedge: bool = False
    may_cancel: bool = False
    may_check_health: bool = False
    load_in_health_check: bool = False  # health checks ask for a load report
    has_counter: bool = False
    counter_timeout: float = 0.0  # seconds
    max_units: float = 1.0  # of one request
    max_retry_after: float = 0.0  # seconds
    initial_capacity: float = 1.0  # share of its capacity that a fresh endpoint has
    warm_up_time: float = 0.0  # seconds until it has all of it
    overload_multiple: float = 1.0  # load, over what it bears then, that brings a fresh endpoint down
    overload_window: float = 1.0  # seconds over which that load is counted

    def validate(self) -> None:
        """Raise ``InvalidSettingsError`` where a value is out of the range that the decisions rely on."""
        min_values = {
            "gateway_count": (self.gateway_count, 1),
            "max_attempts": (self.max_attempts, 1),
            "initial_capacity": (self.initial_capacity, MIN_POSITIVE),
            "overload_window": (self.overload_window, MIN_POSITIVE),
            "warm_up_time": (self.warm_up_time, 0),
            "counter_timeout": (self.counter_timeout, 0),
        }
        for field, (value, minimum) in min_values.items():
            if value < minimum:
                raise InvalidSettingsError(
                    f"impossible setting: {field} is {value}, at least {minimum} wanted"
                )
