"""Adapter to the platform: header names, record formats and store calls."""
