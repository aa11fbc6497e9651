"""Quarantine of requests that crash the backend servers that run them.

Each data plane counts the losses of backend servers under a request's fingerprint by
the rules in this package, and all of them share the counts through control.
"""
