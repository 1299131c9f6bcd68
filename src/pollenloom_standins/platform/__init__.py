"""Stand-in for the platform's log and VM list."""
