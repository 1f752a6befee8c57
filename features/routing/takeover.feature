Feature: Feeds follow the balancer that acts for their flow

  Scenario: A balancer that stands in for a suspected primary tells the back ends
    Given a routing cell of three balancers
    When routing suspects the primary of an established flow
    Then routing sends the flow's back end a keepalive that its caller does not see
