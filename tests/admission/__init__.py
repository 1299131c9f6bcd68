"""Tests of `pollenloom.admission`."""
