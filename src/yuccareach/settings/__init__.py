"""Loading, checking and merging of declared settings."""
