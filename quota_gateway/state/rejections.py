"""The text of the log line about rejections and ejections."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState


def describe_rejections(
    now: float,
    rejections: Mapping[str, int],
    ejections: Mapping[str, int],
    hash_ring: list[EndpointState],
    lease_holders: Iterable[Account],
) -> str:
    """Return the rejections by reason and the ejections by cause, with the current leases and endpoints."""
    reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(rejections.items()))
    causes = "".join(f", {count} as {cause}" for cause, count in sorted(ejections.items()))
    leases = [account.leased for account in lease_holders]
    warming_up = sum(state.warming_since is not None for state in hash_ring)
    ejected = sum(state.ejected_until > now for state in hash_ring)
    return (
        f"rejected: {reasons}; leased {sum(leases):.0f} for {len(leases)}; warming up {warming_up}"
        f"; ejected {ejected} of {len(hash_ring)}{causes}"
    )
