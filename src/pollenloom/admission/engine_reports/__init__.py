"""Reports that model engines and applications give about themselves."""
