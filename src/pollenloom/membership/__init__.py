"""Membership of the fleet and registers replicated over it."""
