"""Tests of membership and registers."""
