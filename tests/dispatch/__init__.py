"""Tests of `pollenloom.dispatch`."""
