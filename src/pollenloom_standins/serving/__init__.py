"""HTTP listener, life cycle and JSON helpers that all stand-ins share."""
