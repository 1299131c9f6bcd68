"""Connections and messages between routers."""
