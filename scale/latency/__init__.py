"""The test ``latency``: the latency that the limiter adds to a request, and its parts.

Real limiters listen on loopback between clients in this process and stand-ins in another one. An endpoint
reports the service time of a request; the added latency is the client's time minus the service time. The load
is open-loop: each request has a scheduled time, drawn before the run, and is sent then whether or not earlier
responses have arrived. The client's time starts at the scheduled time.
"""
