"""The test ``latency``: the latency that the limiter adds to a request, and its parts.

Real limiters listen on loopback between clients in this process and stand-ins in another one. An endpoint
reports the service time of a request; the added latency is the client's time minus the service time. Requests
are sent by a schedule that is drawn in advance and does not wait for responses; the client's time starts at
the scheduled moment.
"""
