"""Stand-in for the keyed store of the users' platform."""
