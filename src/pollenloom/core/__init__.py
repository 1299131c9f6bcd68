"""Ids, states, error kinds and value types shared by all services."""
