"""Control plane: fleet membership, releases and orders to engines."""
