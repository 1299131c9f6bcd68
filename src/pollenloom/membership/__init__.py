"""Membership of the fleet, and registers replicated to all its members."""
