"""State of the decisions: records of the endpoints, the accounts and the open requests.

The fields of a record are changed only by its own methods, which are named after the transition that they
make. Some methods also apply rules: they size the guaranteed share, split a ceiling among processes, select
what a process takes over in a handover, and recognise a restarted endpoint.
"""

from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState
from quota_gateway.state.global_bucket import PendingCall
from quota_gateway.state.rejections import describe_unserved_requests
from quota_gateway.state.request import Attempt, OpenRequest

__all__ = [
    "Account",
    "Attempt",
    "EndpointState",
    "OpenRequest",
    "PendingCall",
    "describe_unserved_requests",
]
