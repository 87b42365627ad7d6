"""The test ``in_force``: the time until a change of list or configuration is in force at all limiters.

A few real limiters receive a change under traffic; their responses and requests show when it is in force. For
groups of hundreds of limiters only the real discovery clients run, on loopback sockets, with a stand-in of
discovery that has a short list. The test ``cpu`` measures the cost of reading a long list.
"""
