"""Duties that one router of the fleet holds at a time."""
