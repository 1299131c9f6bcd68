"""Processor time, memory and bytes that the routers need, and their slopes."""
