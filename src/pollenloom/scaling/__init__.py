"""Number of backend servers that a service should have in a data centre."""
