"""The test ``in_force``: the time until a change of list or configuration is in force at all limiters.

A few real limiters are changed under traffic, which shows when the change is in force. Groups of hundreds of
limiters consist of the real discovery clients alone, on loopback sockets, and a stand-in with a short list.
The cost of reading a long list is measured by the test ``cpu``.
"""
