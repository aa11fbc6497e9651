"""Shares of the requests a second that a backend server takes from all instances."""
