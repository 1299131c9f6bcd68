"""Client of the platform's append-only log and VM list."""
