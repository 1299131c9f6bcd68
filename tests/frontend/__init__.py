"""Tests of `pollenloom.frontend`."""
