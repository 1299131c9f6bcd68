"""Moves of traffic from one version to the next."""
