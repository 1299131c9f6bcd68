"""Tests of the checks of histories."""
