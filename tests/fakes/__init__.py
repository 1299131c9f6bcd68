"""Fakes of the services and servers that the tested code uses."""
