"""Stand-ins for engines, services and faulty networks."""
