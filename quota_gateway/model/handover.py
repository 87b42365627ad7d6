"""What one process of a limiter hands to the next, so that an upgrade does not begin from nothing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointHandover:
    """What a process knows of one endpoint; it holds for the incarnation that started at ``started_at``."""

    name: str
    started_at: float  # Unix time
    warming_since: float | None  # None: warmed up
    responses: int  # good ones in this incarnation
    mean_slowdown: float  # mean latency of these over the idle latency
    slowdown: float  # recent latency over the idle latency
    work_rate: float  # work completed a second


@dataclass(frozen=True, slots=True)
class AccountHandover:
    """What a process knows of a customer's quota, and the part of the ceiling that it gives away."""

    plan: str
    account: str
    serving_gateways: int
    tokens: float  # units that the global bucket is taken to hold
    guaranteed_tokens: float  # units of the guaranteed share
    ceiling_tokens: float  # units of the ceiling that the next process gets
    remote_usage_rate: float  # units a second that other gateways grant
    last_synchronised: float  # time of the counter's last total
    counter_total: float | None


@dataclass(frozen=True, slots=True)
class HandoverState:
    """All of it, sent once to a process that has just started."""

    completion_rate: float  # work that a warm endpoint completes a second
    mean_work: float  # seconds of work of a request
    mean_units: float  # of a request
    base_latencies: Mapping[str, float]  # idle latency by request class
    endpoints: tuple[EndpointHandover, ...]
    accounts: tuple[AccountHandover, ...]
