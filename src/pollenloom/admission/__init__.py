"""Fair admission of requests to backend servers."""
