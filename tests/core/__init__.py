"""Tests of `pollenloom.core`."""
