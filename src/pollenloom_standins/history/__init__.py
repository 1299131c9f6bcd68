"""Records what callers saw and servers ran, and checks promises on it."""
