"""Tests of `pollenloom.membership`."""
