"""The agent process, one for each backend server."""
