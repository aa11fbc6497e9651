"""What the data planes know of backend servers, and by what proof."""
