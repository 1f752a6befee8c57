Feature: The balancer as a process, before stand-ins of store, router and targets

  Scenario: A packet is forwarded, and a stop is announced to the routers first
    Given platform stand-ins of a store and of two targets
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer refuses a flow to no route
    And the platform balancer goes on after SIGHUP and shows its metrics
    When the platform balancer is told to stop
    Then the platform balancer is not ready, forwards the flow on and ends with code 0

  Scenario: A metrics address that is in use is logged with the reason
    Given platform stand-ins of a store and of two targets
    And a platform listener at the metrics address of the next balancer
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer logs that it serves no metrics, and why

  Scenario: What is sent while the process starts is not lost
    Given platform stand-ins of a store and of two targets
    When a platform balancer is started and a flow is opened before it is ready
    Then the platform target receives the flow

  Scenario: A fresh process learns from a peer while the store is silent
    Given platform stand-ins of a store and of two targets
    And a platform balancer that is ready
    When the platform store falls silent and another balancer starts
    Then the other platform balancer becomes ready

  Scenario: A process whose store answers in parts starts all the same
    Given platform stand-ins of a store and of two targets
    And a platform store that sends the routes in parts, with pauses
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
