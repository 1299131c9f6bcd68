"""Stand-ins for the services and servers around a tested part."""
