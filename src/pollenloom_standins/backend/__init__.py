"""Capacity, faults and records of both kinds of backend server."""
