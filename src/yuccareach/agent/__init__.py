"""The agent process beside one backend server."""
