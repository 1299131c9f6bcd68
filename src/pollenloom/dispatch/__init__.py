"""Sending requests to backend servers and relaying answers."""
