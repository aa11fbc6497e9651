"""The replicated control state."""
