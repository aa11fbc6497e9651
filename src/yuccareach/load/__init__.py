"""Open-loop load on entries, with every answer checked."""
