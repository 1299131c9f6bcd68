"""Tests of the reports of engines and applications."""
