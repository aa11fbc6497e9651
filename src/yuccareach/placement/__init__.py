"""Which backend server holds which layers, and the orders that make it so."""
