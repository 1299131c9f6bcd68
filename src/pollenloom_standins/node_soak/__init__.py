"""Soak of `pollenloom.node` processes with store, servers and callers."""
