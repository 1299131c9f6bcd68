"""HTTP listener, life cycle and control calls that all stand-ins share."""
