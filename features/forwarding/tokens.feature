Feature: A packet's token identifies its back end, whatever the state of the balancer

  Scenario: No flow changes its back end under differing views, restarts and reused addresses
    Then forwarding property: packets of a flow reach its own back end or none

  Scenario: Of two back ends with the same token only one receives flows
    Then forwarding property: of two back ends with the same token only the first is given flows
    And forwarding gives the token to the second when the first is removed

  Scenario: A token never equals the value for no token
    Then forwarding property: tokens are never zero and fit into 32 bits

  Scenario: An unknown token is looked up before the packet is dropped
    Given a forwarding node with routes and back ends
    When forwarding receives a packet with a token that only a peer knows
    Then forwarding buffers the packet, looks up its token and forwards it when a peer replies

  Scenario: A packet whose token no peer knows is dropped, and the lookup is not repeated at once
    Given a forwarding node with routes and back ends
    When forwarding receives a packet with a token that no peer knows
    Then forwarding drops the packet and does not repeat the lookup within a second

  Scenario: A packet that has no token and opens no flow is dropped
    Given a forwarding node with routes and back ends
    Then forwarding drops a packet without a token
