"""Measurements of a whole fleet under recorded arrivals."""
