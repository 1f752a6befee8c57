Feature: Stand-ins and balancers as real processes

  Scenario: The platform takes valid configuration, refuses the rest and can fail
    Given a running standins platform
    Then the standins platform stores valid resources as the next generation
    And the standins platform refuses invalid resources with findings and an old base with a conflict
    And the standins platform answers nothing while it is down and an older generation while it is stale

  Scenario: A small fleet keeps all promises through a drain and a planned stop
    When a small standins demo runs
    Then the standins demo ran to its end and broke no promise
    And every standins demo process has ended

  Scenario: A small fleet is stopped under traffic, however long the drain took
    Beside a busy machine the command that drains took 17 s to start.  The callers' flows were over by
    then, their process had ended, and the demo did not run: "ConnectError: all attempts to connect".
    When a small standins demo runs whose drain takes 9 seconds longer
    Then the standins demo ran to its end and broke no promise
    And flows were opened in it after the drain
