"""Configuration of services: files, rules and the revision in force."""
