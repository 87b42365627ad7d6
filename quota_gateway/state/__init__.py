"""State that the decisions keep: records of endpoint, customer and request with their transitions.

Some transitions decide: the size of the guaranteed share, the split of a ceiling, what a process takes over,
what counts as a restart. They belong to the decisions, though not to the deploy file's policy files.
"""

from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import NO_WORK, EndpointState
from quota_gateway.state.global_bucket import PendingCall
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
