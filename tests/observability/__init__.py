"""Tests of `pollenloom.observability`."""
