"""HTTP gateway in front of backend servers that forward work to each other."""
