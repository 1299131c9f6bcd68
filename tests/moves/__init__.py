"""Tests of `pollenloom.moves`."""
