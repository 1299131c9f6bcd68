"""Soak of the fleet on the users' machines, with its surroundings."""
