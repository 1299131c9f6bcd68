"""Load, records of calls and runs, and checks of promises on them."""
