"""Tasks that own the sockets of a daemon."""
