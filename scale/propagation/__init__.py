"""The test ``in_force``: how long a change of the list or the configuration takes to the last limiter.

A few real limiters are changed under traffic, and the traffic shows when the change holds. Groups of hundreds
are hollow: the real discovery clients on loopback sockets, with nothing behind them, against a stand-in with
a list of few endpoints. What reading a long list costs each limiter is measured elsewhere.
"""
