"""Protocol messages and the code generated from them."""
