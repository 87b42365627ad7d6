"""State that the decisions keep: records with their mechanical transitions, such as a refill or a reset.

What is chosen, and every constant that a choice depends on, stands in ``quota_gateway.decisions``.
"""

from quota_gateway.state.account import Account, PendingCall
from quota_gateway.state.endpoint import NO_WORK, EndpointState
from quota_gateway.state.rejections import describe_rejections
from quota_gateway.state.request import Attempt, OpenRequest

__all__ = [
    "NO_WORK",
    "Account",
    "Attempt",
    "EndpointState",
    "OpenRequest",
    "PendingCall",
    "describe_rejections",
]
