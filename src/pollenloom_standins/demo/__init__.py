"""Demonstration of a fleet from end to end, with checked responses."""
