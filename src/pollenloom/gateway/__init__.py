"""Generic HTTP front end that relays requests to backend servers."""
