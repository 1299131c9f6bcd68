"""Shares of client accounts, measured from the logs of a fleet."""
