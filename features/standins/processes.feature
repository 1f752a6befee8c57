Feature: Stand-ins and balancers as real processes

  Scenario: The platform stores valid configuration, refuses invalid configuration and can simulate faults
    Given a running standins platform
    Then the standins platform stores valid resources as the next generation
    And the standins platform refuses invalid resources with findings and an outdated base with a conflict
    And the standins platform is unavailable while it is down and returns an older generation while it is stale

  Scenario: A small fleet keeps all promises through a drain and a planned stop
    When a small standins demo runs
    Then the standins demo completed and broke no promise
    And every standins demo process has ended

  Scenario: A small fleet is stopped under traffic even if the drain is slow
    On a busy machine the drain command can start so late that the callers' flows have ended and their
    process has exited.  Reading its progress then fails with "ConnectError: all attempts to connect".
    When a small standins demo runs whose drain takes 9 seconds longer
    Then the standins demo completed and broke no promise
    And flows were opened in the standins demo after the drain
