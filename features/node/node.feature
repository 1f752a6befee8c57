Feature: A balancer that forwards sloepond's own packets by token

  Scenario: A fresh node uses the generation of its peers, not an older one of a stale platform
    Given a running node with generation 3 in force
    When a fresh node with that node as its seed reads generation 1 from the platform
    Then the fresh node has generation 3 within 4 seconds and never generation 1

  Scenario: A fresh node repeats its offers while its seeds are silent
    Given a fresh node whose seed and platform are silent
    Then it sends its seed an offer once per second and reports that it is joining

  Scenario: Packets of a flow reach the same back end through any balancer
    Given a running node with generation 3 in force
    When another node with generation 3 receives packets of a flow opened at the first
    Then both send the flow's packets to one back end

  Scenario: A stalled process records the stall and places no flows at first
    Given a running node with generation 3 in force
    When that node is stalled for 5 seconds
    Then it refuses to place a flow, counts one stall and places flows again after 2 seconds

  Scenario: A planned stop ends in time
    Given a running node with generation 3 in force
    When that node is asked to stop
    Then it reports that it is leaving, keeps forwarding and completes the stop in 3 seconds

  Scenario: A back end whose drain is withdrawn gets new flows again
    Given a running node with generation 3 in force
    When the next generations drain a back end, undrain it, zero its weight, remove it and declare it again
    Then the node sends it new flows only while it is declared, not drained and has a weight

  Scenario: A drained zone gets no new flows until the drain is withdrawn
    Given a running node with generation 3 in force
    When the next generations drain the zone of a back end with an open flow, and withdraw the drain
    Then the node sends it the open flow throughout, and new flows only while its zone is not drained

  Scenario: A back end that moves to another address gets its new flows there
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow at another address
    Then the node sends new flows to the new address, and the open flow to the former one

  Scenario: A back end that moves to a denied hall gets no new flows
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow in a hall that is denied
    Then the node sends it the open flow and no new flows

  Scenario: A back end that moves to another service gets no packets of the former one
    Given a running node with generation 3 in force
    When the next generation declares a back end with an open flow for the other service
    Then the node sends it no packet of the former service

  Scenario Outline: Services, callers and back ends may have IPv4 or IPv6 addresses
    Given a running node whose service is at <service> with a back end at <backend>
    Then the node forwards packets and answers of a flow from <caller>, and none to another service

    Examples:
      | service            | backend           | caller            |
      | 10.255.0.1:7000    | 10.0.0.9:8000     | [2001:db8::7]:4000 |
      | [2001:db8::1]:7000 | [2001:db8::9]:8000 | 10.1.1.1:4000     |
      | [2001:db8::1]:7000 | 10.0.0.9:8000     | [2001:db8::7]:4000 |
