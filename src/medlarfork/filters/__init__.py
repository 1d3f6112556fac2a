"""The filters of a request, in the order in which it passes them."""
