"""The operators' HTTP API of one balancer: status, resources, watch and metrics."""
