"""In-process stand-ins for the platform's store and replicas."""
