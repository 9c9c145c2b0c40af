"""Small stand-ins for outside systems; the product never imports them."""
