"""Adapter to the users' machines: names, formats and calls."""
