"""Connections to other processes, beyond what the libraries do."""
