"""Assignment of a model's layers to backend servers, and the orders to load them."""
