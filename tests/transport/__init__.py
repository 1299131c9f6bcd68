"""Tests of `pollenloom.transport`."""
