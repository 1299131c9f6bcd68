"""Stand-in for the store of the users' platform."""
