"""A randomized soak test of the platform's gateways and control.

Each seed starts real processes, injects faults into them from outside while callers
send requests, and then checks the platform's guarantees.
"""
