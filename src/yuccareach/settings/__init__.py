"""Read, check and look up the settings that teams declare."""
