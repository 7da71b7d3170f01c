"""What keeps a busy or hurt fleet useful."""
