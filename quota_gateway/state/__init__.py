"""State that the decisions keep: records of endpoint, customer and request with their transitions.

Each record changes its own fields only, by methods that are named after the transition. Some transitions
decide: the size of the guaranteed share, the split of a ceiling, what a process takes over, what counts as a
restart.
"""

from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState
from quota_gateway.state.global_bucket import PendingCall
from quota_gateway.state.rejections import describe_rejections
from quota_gateway.state.request import Attempt, OpenRequest

__all__ = [
    "Account",
    "Attempt",
    "EndpointState",
    "OpenRequest",
    "PendingCall",
    "describe_rejections",
]
