"""Placement of layers and choice of backend servers."""
