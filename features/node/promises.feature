Feature: What callers are promised holds whatever balancers know

  Balancers that take generations in any order and are replaced, packets that are copied, late or
  lost, back ends that drain, go and come back: of each run of such a fleet the promises hold.

  Scenario: Packets of a flow reach its own back end, and openings a permitted one of their service
    Then node property: whatever happens, each packet reaches its own back end or none

  Scenario: What may not be repeated runs at most once
    Then node property: whatever happens, no request of a flow runs twice

  Scenario: Told not run means not run
    Then node property: whatever happens, a request that is refused has not run and never will

  Scenario: A cancellation proves nothing about the request
    Then node property: whatever happens, a request that is cancelled and refused has not run and never will
