"""Stand-in for a backend server of the users, with answers by script."""
