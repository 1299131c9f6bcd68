"""Reading and checking of TOML files, with all problems listed at once."""
