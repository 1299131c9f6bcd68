"""Rounds of load under random faults, checked against the promises."""
