"""Pure decisions of a service's owner: which upstream runs a request, when, or not at all."""
