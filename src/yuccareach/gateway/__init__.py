"""HTTP gateway in front of backend servers that forward work to each other.

In this package, an entry is a gateway process, through which requests enter the system.
It is not a process of yuccareach.entry.
"""
