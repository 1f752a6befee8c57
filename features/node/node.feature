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

  Scenario: A back end whose drain is taken back is given new flows again
    Given a running node with generation 3 in force
    When the next generations drain a back end, remove it, and declare it again
    Then the node gives it new flows after the last of them, and none between

  Scenario: A zone that is drained is given no new flow until that is taken back
    Given a running node with generation 3 in force
    When the next generations drain the zone of a back end with an open flow, and take it back
    Then the node gives it the open flow throughout, and new flows only when its zone is not drained

  Scenario: A back end that moves to another address is given its new flows there
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow at another address
    Then the node sends its new flows there, and the open one where it was

  Scenario: A back end that moves to a hall that its service is denied is given no new flow
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow in a hall that is denied
    Then the node sends it the open flow and no new one

  Scenario: A back end that moves to another service is given no flow of the former
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow for the other service
    Then the node sends it no packet of the former service

  Scenario Outline: Services, callers and back ends may have addresses of either version of IP
    Given a running node whose service is at <service> with a back end at <backend>
    Then the node passes packets and answers of a flow from <caller>, and none to another service

    Examples:
      | service            | backend           | caller            |
      | 10.255.0.1:7000    | 10.0.0.9:8000     | [2001:db8::7]:4000 |
      | [2001:db8::1]:7000 | [2001:db8::9]:8000 | 10.1.1.1:4000     |
      | [2001:db8::1]:7000 | 10.0.0.9:8000     | [2001:db8::7]:4000 |
