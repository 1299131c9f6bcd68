"""Tests; the packages mirror `src`."""
