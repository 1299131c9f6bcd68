"""Measures processor time, memory and message sizes, and their slopes."""
