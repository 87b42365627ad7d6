"""Rate limiter for a shared API: admits, forwards or rejects requests by quota and load."""
