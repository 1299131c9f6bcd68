"""Tests of `pollenloom.platform`."""
