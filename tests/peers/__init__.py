"""Tests of `pollenloom.peers`."""
