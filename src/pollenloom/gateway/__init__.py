"""Generic HTTP front end: relays requests to the backend servers."""
