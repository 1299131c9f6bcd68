"""Tests of `pollenloom.kernel`."""
