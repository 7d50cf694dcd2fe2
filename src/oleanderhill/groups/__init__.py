"""Engine hosts and the groups that they form: inventory, plans, ownership and orders."""
