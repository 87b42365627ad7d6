"""The test ``state``: memory of an endpoint, customer, connection, counter call and class; the whole process.

Each measurement is a job that runs in its own process.
"""
