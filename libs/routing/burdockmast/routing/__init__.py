"""Which backend servers run an answer."""
