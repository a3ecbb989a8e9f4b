"""Tasks that own their sockets and state and talk by messages."""
