"""TCP forwarder that simulates network partitions."""
