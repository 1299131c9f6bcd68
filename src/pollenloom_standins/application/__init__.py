"""Stand-in for an application's backend server."""
