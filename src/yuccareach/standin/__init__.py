"""Stand-ins for model engines, plain services and faulty networks."""
