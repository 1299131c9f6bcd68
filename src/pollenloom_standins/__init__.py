"""Stand-ins for external systems, for development and tests only."""
