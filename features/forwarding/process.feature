Feature: The balancer's process with stand-ins for the store, a router and targets

  Scenario: Packets are forwarded, and a planned stop is first announced to the routers
    Given platform stand-ins of a store and of two targets
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer refuses a flow without a route
    And the platform balancer continues after SIGHUP and serves its metrics
    When the platform balancer is signalled to stop
    Then the platform balancer is not ready, still forwards the flow and ends with code 0

  Scenario: A metrics address that is in use is logged with the reason
    Given platform stand-ins of a store and of two targets
    And a platform listener at the metrics address of the next balancer
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer logs that it serves no metrics, with the reason

  Scenario: Packets that arrive while the process starts are not lost
    Given platform stand-ins of a store and of two targets
    When a platform balancer is started and a flow is opened before it is ready
    Then the platform target receives the flow

  Scenario: A new process gets its state from a peer while the store does not respond
    Given platform stand-ins of a store and of two targets
    And a platform balancer that is ready
    When the platform store stops responding and another balancer starts
    Then the other platform balancer becomes ready

  Scenario: A process starts although the store sends its response in parts
    Given platform stand-ins of a store and of two targets
    And a platform store that sends the routes in parts, with delays
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
