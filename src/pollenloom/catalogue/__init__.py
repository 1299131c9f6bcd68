"""What a router believes of configuration, backend servers and fleet."""
