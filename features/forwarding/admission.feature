Feature: A balancer takes its part of each back end

  Scenario: New flows without room wait, and are placed in any case
    Given a forwarding node with routes and back ends
    When forwarding gets more new flows at once than there is room for
    Then forwarding lets the rest wait and places all of them within 0.6 seconds

  Scenario: The most urgent flow is placed first
    Given a forwarding node with routes and back ends
    When forwarding has flows of two priorities waiting and one place becomes free
    Then forwarding places the more urgent one

  Scenario: A split goes to the part that has room
    Given a forwarding node with routes and back ends
    When forwarding fills one part of a split
    Then forwarding gives new flows of the split to the other part

  Scenario: An answer makes room
    Then forwarding property: requests in flight are counted from packets and never below zero

  Scenario: A balancer that has just started takes one request at each back end
    Given a forwarding node with routes and back ends
    Then forwarding places as many flows at once as the service has back ends, and lets the next one wait
