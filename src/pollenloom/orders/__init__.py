"""Execution of non-repeatable calls at most once."""
