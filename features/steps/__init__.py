"""Step functions of the scenarios."""
