Feature: A balancer that forwards sloepond's own packets by token

  Scenario: It takes the generation its peers have, not the older one of a stale platform
    Given a running node with generation 3 in force
    When a fresh node that names it as a seed reads generation 1 from the platform
    Then the fresh node has generation 3 within 4 seconds and never generation 1

  Scenario: It asks its seeds again while they are silent
    Given a fresh node whose seed and platform are silent
    Then it greets its seed once a second and says that it is joining

  Scenario: Every packet names its back end, whichever balancer it meets
    Given a running node with generation 3 in force
    When another node with generation 3 gets the packets of a flow opened at the first
    Then both send the flow's packets to one back end

  Scenario: A process that wakes late says so and places nothing at first
    Given a running node with generation 3 in force
    When that node sleeps for 5 seconds
    Then it refuses to place a flow, counts one stall and goes on after 2 seconds

  Scenario: A planned stop ends in time
    Given a running node with generation 3 in force
    When that node is asked to stop
    Then it says that it is leaving, forwards on and completes the stop in 3 seconds
