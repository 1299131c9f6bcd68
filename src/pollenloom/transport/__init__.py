"""Additions to the network libraries."""
