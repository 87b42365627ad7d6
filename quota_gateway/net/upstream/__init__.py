"""Connections to endpoints: the connection pool, exchanges on it, response parsing and health checks.

It owns idle and open connections by endpoint, and imports only ``common``.
"""
