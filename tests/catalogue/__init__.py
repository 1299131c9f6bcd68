"""Tests of `pollenloom.catalogue`."""
