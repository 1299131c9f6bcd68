"""Tests of `pollenloom.orders`."""
