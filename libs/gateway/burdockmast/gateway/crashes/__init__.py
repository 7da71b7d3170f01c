"""How a gateway finds out that servers have crashed."""
