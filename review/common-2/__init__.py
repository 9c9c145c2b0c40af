"""Parts that the scripts of this review share."""
