"""The text of the log line on requests that were not served."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState


def describe_unserved_requests(
    now: float,
    unserved_counts: Mapping[str, int],
    ejection_counts: Mapping[str, int],
    hash_ring: list[EndpointState],
    lease_holders: Iterable[Account],
) -> str:
    """Return the unserved requests by reason, and the ejections, leases and endpoints that explain them."""
    reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(unserved_counts.items()))
    causes = "".join(f", {count} as {cause}" for cause, count in sorted(ejection_counts.items()))
    leases = [account.leased for account in lease_holders]
    warming_up = sum(state.warming_since is not None for state in hash_ring)
    ejected = sum(state.ejected_until > now for state in hash_ring)
    return (
        f"rejected: {reasons}; leased {sum(leases):.0f} for {len(leases)}; warming up {warming_up}"
        f"; ejected {ejected} of {len(hash_ring)}{causes}"
    )
