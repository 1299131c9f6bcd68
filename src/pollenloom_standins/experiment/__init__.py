"""Experiments that measure a complete fleet under a recorded load."""
