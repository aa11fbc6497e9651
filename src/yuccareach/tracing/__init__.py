"""Explain from the logs of all processes what happened to a request."""
