Feature: The guarantees to callers hold whatever generation balancers have

  In each run balancers receive generations in any order and are replaced, packets are duplicated,
  delayed or lost, and back ends are drained, removed and declared again.

  Scenario: Packets of a flow reach its own back end, and new flows a permitted one of their service
    Then node property: in any course of events, each packet reaches its own back end or none

  Scenario: A request that may not be repeated runs at most once
    Then node property: in any course of events, no request of a flow runs twice

  Scenario: A request that is reported as not run has not run
    Then node property: in any course of events, a refused request has not run and never will

  Scenario: A cancelled request that is reported as not run has not run
    Then node property: in any course of events, a cancelled and refused request has not run and never will
