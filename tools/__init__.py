"""Tools of the repository; nothing here is part of the product."""
