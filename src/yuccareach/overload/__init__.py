"""Which requests start, wait and are refused while capacity is short."""
