Feature: A packet's token names its back end, whatever a balancer knows

  Scenario: Under uneven views, restarts and reused addresses no flow changes its back end
    Then forwarding property: packets of a flow reach its own back end or none

  Scenario: Two back ends with one token are told apart
    Then forwarding property: of two back ends with one token only the first is given flows
    And forwarding passes the token on when the first is forgotten

  Scenario: A token is never the mark of no token
    Then forwarding property: tokens are never zero and fit into 32 bits

  Scenario: An unknown token is looked up before the packet is dropped
    Given a forwarding node with routes and back ends
    When forwarding meets a token that only a peer knows
    Then forwarding holds the packet, asks peers and forwards it when one answers

  Scenario: A token that no peer knows is dropped and not asked for again at once
    Given a forwarding node with routes and back ends
    When forwarding meets a token that nobody knows
    Then forwarding drops the packet and does not ask again within a second

  Scenario: A packet without a token that opens nothing goes nowhere
    Given a forwarding node with routes and back ends
    Then forwarding drops a packet without a token
