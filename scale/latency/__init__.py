"""The test ``latency``: what the limiter adds to a request, and how much of that is which part's.

Real limiters stand on loopback between a client here and stand-ins in a process of their own. An endpoint
reports how long it had a request; what a limiter adds is the client's time less that. Requests go out by a
schedule that is fixed beforehand and never waits for responses, and their time runs from the schedule.
"""
