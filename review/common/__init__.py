"""Stand-ins of the platform, its executors and clients, shared by the cases."""
