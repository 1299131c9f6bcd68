"""Tests of `pollenloom.routing`."""
