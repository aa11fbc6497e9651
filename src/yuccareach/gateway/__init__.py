"""HTTP gateway in front of backend servers that pass work on among themselves."""
