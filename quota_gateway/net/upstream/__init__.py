"""Connections to endpoints: the connection pool, exchanges on it, response parsing and health checks.

The package owns the idle and open connections of each endpoint; of ``net`` it imports only ``common``.
"""
