"""Open-loop load, answer checks and experiments."""
