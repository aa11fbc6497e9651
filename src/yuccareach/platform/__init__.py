"""Adapter to the users' platform: its files, HTTP calls and headers."""
