"""Starts a fleet of routers and stand-ins as separate processes."""
