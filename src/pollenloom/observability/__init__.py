"""Logs, metrics and event records."""
