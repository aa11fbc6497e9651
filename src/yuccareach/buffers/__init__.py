"""Bounds on the memory and descriptors that connections take in one process."""
