"""Tests of the network between routers."""
