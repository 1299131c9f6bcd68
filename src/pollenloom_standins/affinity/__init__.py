"""Measures the benefit of prefix cache affinity for callers."""
