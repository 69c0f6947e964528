"""Small stand-ins for the platform's store and its replicas."""
