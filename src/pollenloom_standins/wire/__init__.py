"""Generated conversations between a client, a router and a backend server."""
