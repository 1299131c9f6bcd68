"""Demonstration of the whole path with checked answers."""
