"""The test ``state``: bytes of a server, a customer, a connection, a count and a class; the whole process.

Each measurement is a job in a process of its own.
"""
