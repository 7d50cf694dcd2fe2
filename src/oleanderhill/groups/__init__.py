"""Groups of engine hosts that join by order: what is known of them, and what is to be done."""
