"""Stand-in for the platform's calls that one router makes at a time."""
