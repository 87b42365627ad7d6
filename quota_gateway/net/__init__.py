"""The real limiter's sockets, round the decisions of ``quota_gateway.decisions``."""
