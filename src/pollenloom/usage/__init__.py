"""Requests that began, by client account and window of the wall clock."""
