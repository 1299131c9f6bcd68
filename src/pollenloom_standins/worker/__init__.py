"""Scripted stand-in for a backend server of the users' platform."""
