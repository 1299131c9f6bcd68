"""Decisions on which server gets a request and whether it may be sent now."""
