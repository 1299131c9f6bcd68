"""Tests of the shares measured from logs."""
