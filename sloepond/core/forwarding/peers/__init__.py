"""What balancers exchange: membership by peer sampling, gossip, reader election, anti-entropy."""
