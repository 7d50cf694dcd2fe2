"""Which entry hosts there are, and messages among them."""
