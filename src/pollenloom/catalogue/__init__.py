"""A router's view of configuration, backend servers and fleet."""
