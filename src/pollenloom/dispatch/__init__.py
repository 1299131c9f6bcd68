"""Sending requests to backend servers and relaying responses."""
