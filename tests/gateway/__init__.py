"""Tests of `pollenloom.gateway`."""
