"""Reading and validation of TOML files, with all problems at once."""
