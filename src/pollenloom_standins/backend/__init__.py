"""Capacity, faults and records shared by both backend stand-ins."""
