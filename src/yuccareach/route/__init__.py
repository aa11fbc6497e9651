"""Placement of layers on engines, and choice of chains for requests."""
