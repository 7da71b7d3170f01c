"""HTTP replies, of which only those that follow the grammar are read."""
