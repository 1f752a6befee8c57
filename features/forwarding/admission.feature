Feature: A balancer uses its share of each back end

  Scenario: New flows without spare capacity are queued, and are placed in any case
    Given a forwarding node with routes and back ends
    When forwarding receives more new flows at once than there is spare capacity for
    Then forwarding queues the rest and places all of them within 0.6 seconds

  Scenario: The queued flow of the highest priority is placed first
    Given a forwarding node with routes and back ends
    When forwarding has queued flows of two priorities and capacity for one of them becomes free
    Then forwarding places the flow of the higher priority

  Scenario: A split route uses the service that has spare capacity
    Given a forwarding node with routes and back ends
    When forwarding uses all capacity of one service of a split route
    Then forwarding places new flows of the split route on the other service

  Scenario: An answer frees capacity
    Then forwarding property: requests in flight are counted from packets and are never negative

  Scenario: A balancer that has just started places one flow on each back end
    Given a forwarding node with routes and back ends
    Then forwarding places as many flows at once as the service has back ends, and queues the next one
