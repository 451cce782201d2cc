"""Stand-ins for the platform and for backend servers in tests and demos."""
