"""Event loop, effects, links, logs and process life cycle."""
